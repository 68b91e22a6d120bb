Feature: Batch jobs are accepted completely or not at all, and their results can be read

  Scenario: Every item of an accepted job has one result, in item order
    Given a batch fleet with 3 disk VMs and 2 nodes
    When a job of 3000 items is submitted and ends
    Then the job's results are those of its 3000 items in order
    And the job's part records are gone

  Scenario: A job with an invalid line is refused completely and the line is named
    Given a batch fleet with 3 disk VMs and 1 nodes
    When a job with invalid lines is submitted
    Then the refusal names the invalid lines and nothing of the job is recorded or run

  @promise-1 @fault-resend
  Scenario: Resends of a job refer to the same job
    Given a batch fleet with 3 disk VMs and 2 nodes
    When a job is submitted to two entries at once and again after it has ended
    Then the answers name one job and each item was dispatched once

  Scenario: The same key with other content is a conflict
    Given a batch fleet with 3 disk VMs and 1 nodes
    When a job is submitted and then other items with its key
    Then the second job is refused as a conflict that was not run

  @promise-1 @fault-lost-reply
  Scenario: Lost replies of the key-value service leave one job
    Given a batch fleet with 3 disk VMs and 1 nodes
    When a job is submitted while replies of the key-value service are lost
    Then the job's results are those of its 2500 items in order

  @promise-1 @fault-kill @fault-resend
  Scenario: An interrupted accept is completed by a resend and runs nothing before it
    Given a batch fleet with 3 disk VMs and 1 nodes
    When the key-value service fails after any number of writes of a submission
    Then nothing ran before the resend and afterwards each item has one result

  @promise-2
  Scenario: A cancelled job stops and keeps what was committed
    Given a batch fleet with 3 disk VMs and 2 nodes
    When a running job is cancelled
    Then no item is dispatched after the cancel and each item has one result
    And committed results are unchanged by the cancel

  Scenario: Results can be read while the job runs
    Given a batch fleet with 3 disk VMs and 1 nodes
    When the results of a running job are read page by page
    Then each page continues the last one and no result changes

  Scenario: Usage counts each committed result once, also over expiry and repeated deletions
    Given a batch fleet with 3 disk VMs and 1 nodes
    When jobs end and their records expire while writes and replies are lost
    Then the team's usage is that of all items once and no job record is left

  Scenario: A team at its limit of open jobs is refused, a resend is not
    Given a batch fleet with 3 disk VMs and 1 nodes
    When a team allowed one open job submits a second job and resends the first
    Then the second is refused as not run and the resend refers to the first

  @promise-1 @fault-outage
  Scenario: Committed results stay readable while the key-value service is down
    Given a batch fleet with 3 disk VMs and 2 nodes
    When the key-value service goes down after one job has ended and another is half done
    Then the ended job reads the same at both entries and the half done one where it was read
    And a new job is refused as not run

  Scenario: A job that will miss its deadline is reported before it does
    Given a batch fleet with 3 disk VMs and 1 nodes
    When a job is submitted whose items take longer than its deadline allows
    Then its status says late while the deadline is still ahead
