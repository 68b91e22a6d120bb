Feature: slots are asked of the home schedulers and given back

  @promise-3 @fault-load
  Scenario: online work takes a slot back from batch work
    Given a grant fleet with one endpoint of 1 slot
    When a batch request holds the slot and an online request asks
    Then the batch holder is told to give it back and online gets the slot

  @promise-3 @fault-kill
  Scenario: no scheduler answers
    Given a grant fleet with one endpoint of 8 slots
    When the scheduler of the grant fleet freezes
    Then online requests are dispatched only under the local limit
    And batch requests are refused as not run

  @promise-5 @fault-late
  Scenario: a grant that comes too late is given back
    Given a grant fleet with one endpoint of 1 slot
    When the answer to an ask is delayed past the local limit
    Then the late grant is given back and never used

  Scenario: a caller goes away while its ask waits
    Given a grant fleet with one endpoint of 1 slot
    When a request that waits in the queue is cancelled
    Then the home forgets the ask and gives the slot to the next

  Scenario: a revocation overtakes its grant
    Given a grant fleet with one endpoint of 1 slot
    When a batch grant is revoked before its answer has come
    Then the grant is not used and the slot comes free

  Scenario: a batch lease lapses
    Given a grant fleet with one endpoint of 2 slots
    When the home of a batch grant freezes for longer than the lease
    Then the batch holder is told within the lease and the online holder goes on

  Scenario: a home has ended a batch grant
    Given a grant fleet with one endpoint of 1 slot
    When the home of a batch grant says that it has ended
    Then the holder is told at the next renewal

  Scenario: the home does not know the endpoint yet
    Given a grant fleet with one endpoint of 1 slot
    When the home learns of the endpoint later than the asking process
    Then the request waits for the home and is not dispatched without it

  Scenario: many homes are silent
    Given a grant fleet with one endpoint of 1 slot
    When four homes of eight endpoints freeze
    Then an online request waits for two homes at most before it does without
