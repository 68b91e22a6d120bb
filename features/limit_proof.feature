Feature: what proves the holders of shares is never younger than what is known

  Background:
    Given a large fleet of a few nodes that are divided into cells

  Scenario: answers that are held up for a while count as old at every node
    When keys are written while answers between nodes are held up and nodes read through leaders
    Then no node lacks a key that was written before its proof, and all proofs are recent

  Scenario: nodes that ask each other prove nothing
    When two nodes ask only each other for what the store holds
    Then the proofs of both are as old as their last reads from the store

  Scenario: in a large fleet the active nodes hold the shares, and all nodes get permits
    When a customer gets a limit and sends to active nodes and to nodes on standby
    Then active nodes hold all shares and the customer is served at every node
