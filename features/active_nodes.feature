Feature: in a large fleet the active nodes take the callers, the others are on standby

  Scenario: callers are sent to the active nodes that can serve them
    Given nodes of two failure domains that make a large fleet
    When callers ask a standby node for addresses while active nodes are lost, stop or lose the store
    Then the addresses are those of the active nodes that remain, of the caller's domain

  Scenario: a node whose registration was revoked still gets the loads of the active nodes
    Given nodes of two failure domains that make a large fleet
    When the registration of an active node is gone although it serves
    Then another node takes its place, and it still knows the loads

  Scenario: nodes on standby send few load reports
    Given nodes of two failure domains that make a large fleet
    When the fleet has no callers
    Then a node on standby sends reports to the first nodes of its cell only

  Scenario: few nodes claim a job that has lost its owner
    When claimants rank for many jobs
    Then each job has one first claimant, and each claimant as many jobs
