Feature: slots are asked of the home schedulers and given back

  Scenario: online work takes a slot back from batch work
    Given a grant fleet with one endpoint of 1 slot
    When a batch request holds the slot and an online request asks
    Then the batch holder is told to give it back and online gets the slot

  Scenario: no scheduler answers
    Given a grant fleet with one endpoint of 8 slots
    When the scheduler of the grant fleet freezes
    Then online requests are dispatched only under the local limit
    And batch requests are refused as not run

  Scenario: a grant that comes too late is given back
    Given a grant fleet with one endpoint of 1 slot
    When the answer to an ask is delayed past the local limit
    Then the late grant is given back and never used
