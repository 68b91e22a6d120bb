Feature: slots are requested from the home schedulers and released

  @promise-3 @fault-load
  Scenario: online work preempts batch work
    Given a grant fleet with one endpoint of 1 slot
    When a batch request holds the slot and an online request arrives
    Then the batch holder is told to release the slot and the online request gets it

  @promise-3 @fault-kill
  Scenario: no scheduler answers
    Given a grant fleet with one endpoint of 8 slots
    When the scheduler of the grant fleet hangs
    Then online requests are dispatched only within the limit of local grants
    And batch requests are refused as not run

  @promise-5 @fault-late
  Scenario: a grant that arrives too late is released
    Given a grant fleet with one endpoint of 1 slot
    When the answer to a slot request is delayed beyond the answer timeout
    Then the late grant is released and never used

  Scenario: a caller cancels while its request waits
    Given a grant fleet with one endpoint of 1 slot
    When a request that waits in the queue is cancelled
    Then the home scheduler drops the request and grants the slot to the next one

  Scenario: a revocation arrives before its grant
    Given a grant fleet with one endpoint of 1 slot
    When a batch grant is revoked before its answer has arrived
    Then the grant is not used and the slot becomes free

  Scenario: a batch lease expires
    Given a grant fleet with one endpoint of 2 slots
    When the home scheduler of a batch grant hangs for longer than the lease
    Then the batch holder is notified within the lease and the online holder continues

  Scenario: a home scheduler has ended a batch grant
    Given a grant fleet with one endpoint of 1 slot
    When the home scheduler of a batch grant reports that it has ended
    Then the holder is notified at the next renewal

  Scenario: the home scheduler does not know the endpoint yet
    Given a grant fleet with one endpoint of 1 slot
    When the home scheduler learns of the endpoint later than the requesting process
    Then the request waits for the home scheduler and is not dispatched without it

  Scenario: many home schedulers do not answer
    Given a grant fleet with one endpoint of 1 slot
    When the four home schedulers of eight endpoints hang
    Then an online request waits for at most two home schedulers before a local grant
