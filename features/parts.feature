Feature: Parts of batch jobs survive the loss of their owners

  @promise-1 @promise-2 @promise-6 @fault-kill @fault-freeze @fault-lapse @fault-outage @fault-lost-reply
  Scenario: Every interleaving of owners, crashes, pauses, outages and lost replies keeps the promises
    When processes on simulated time accept, run, commit and cancel under any faults
    Then every accepted item had one result that never changed and no unrepeatable item ran twice

  @promise-1 @fault-kill
  Scenario: A new owner adopts results that were written and not committed
    Given simulated processes that run a job of 40 items
    When an owner crashes after it wrote results and before it committed them
    Then written items are not run again

  @promise-1 @fault-kill
  Scenario: An item that kills its owners ends with an error and delays no other
    Given simulated processes that run a job of 12 items
    When one item ends every process that dispatches it
    Then that item has an error result and the others are done

  @promise-1 @fault-error
  Scenario: An item that fails everywhere ends with an error after three attempts
    Given simulated processes that run a job of 12 items
    When one item fails at every endpoint
    Then it was dispatched 3 times, has an error result and the others are done

  @promise-1 @fault-outage
  Scenario: A long outage of the key-value service stops no accepted job
    Given simulated processes that run a job of 40 items
    When the key-value service is down for 10 minutes
    Then items were dispatched during the outage, each once, and all results are committed after it
    And the catch-up took few calls

  @promise-8 @fault-stop
  Scenario: A graceful shutdown hands over parts and interrupts no item
    Given simulated processes that run a job of 40 items
    When a process that runs parts shuts down gracefully
    Then it waited for what it had dispatched and no item ran twice

  Scenario: A part written again by a slow resend does not run again
    Given simulated processes that run a job of 12 items
    When a part record is written again after its job has taken over the part
    Then the record is deleted and no item of it was dispatched again

  Scenario: The group commits of a fleet stay within their budget at any size
    When parts are committed in fleets of any size
    Then all nodes together stay within the budget and none commits faster than its setting
