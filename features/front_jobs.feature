Feature: batch jobs are stored in the platform's store and every item is listed once

  Scenario: a job is accepted, run and read at any node
    When a job is submitted at one node and read at another
    Then every item is listed once with its whole output

  Scenario: a job that is submitted again is the same job
    When a job is submitted three times at different nodes
    Then all answers accept it and no item runs twice

  Scenario: a lost reply of the store neither loses nor duplicates a job
    When the store's reply to a submission is lost
    Then the job is accepted and every item is listed once

  Scenario: a submission that the store refuses is refused as not run
    When the store refuses all calls while a job is submitted
    Then the answer is 503 and no item runs

  Scenario: results are read after the store has compacted their history
    When a reader returns after the store has compacted its history
    Then the results have the same positions

  Scenario: a job whose node is lost is taken over
    When the node that runs a job is lost in the middle of an item
    Then another node lists all items

  Scenario: a result that was listed although the reply was lost is not listed again
    When the store's replies to listings are lost
    Then every item is listed once with its whole output

  Scenario: an impossible item is given up at once
    When the endpoint reports an item as impossible
    Then the item is given up after one run

  Scenario: an item that fails everywhere is given up after its attempts
    When an item fails at every run
    Then the item is given up after three runs

  Scenario: an interrupted item resumes after its last event
    When endpoints interrupt an item again and again
    Then its output has every event once

  Scenario: the log tells a stopped run from a preempted one
    When one run is cancelled for online requests and another because its job is ended
    Then their log lines say yielded and stopped

  Scenario: items of an ended job are no longer run
    When a job is ended while its items run
    Then its runs are cancelled within half a second and nothing runs afterwards

  Scenario: an item's body can be read
    When the bodies of a job's items are read at another node
    Then they are those that were submitted

  Scenario: online requests preempt batch items
    When online requests fill the endpoint that runs batch items
    Then the items are preempted, resume later, and lose no event

  Scenario Outline: submissions that cannot be read are refused
    When a job is submitted as <what>
    Then the answer is 400 and nothing is stored

    Examples:
      | what                 |
      | broken JSON          |
      | broken base64        |
      | items of another type |
      | two items of one id  |
      | no items             |

  Scenario: items of a large job are spread by what is already placed
    When a job of more items than slots is submitted
    Then no item is cancelled and no endpoint holds more than its slots

  Scenario: a waiting reader causes few calls
    When a reader waits at the end of a job's results
    Then the store gets few calls meanwhile

  Scenario: results that wait during an outage of the store are listed after it
    When the store is unavailable while all items of a large job end
    Then every item of the large job is listed once soon after the outage

  Scenario: a node that shuts down gracefully hands over its items with their progress
    When the node that runs a job shuts down gracefully in the middle of long items
    Then another node resumes after the saved events

  Scenario: the loss of a node loses only the progress since the last save
    When the node that runs a job is lost after its items' progress was saved
    Then another node resumes after the saved events

  Scenario: the progress of several jobs is saved in one call
    When a node runs several jobs, one of which another node has taken
    Then their progress takes one call, or one each if another node has taken one

  Scenario: results that end together are listed together
    When the items of a job end one after the other within a moment
    Then they take fewer calls than there are items, and the last is listed at once

  Scenario: a node that is disconnected from the store refuses jobs at once
    When a job is submitted to a node whose calls to the store have begun to fail
    Then it is refused as not run at once, with an immediate retry

  Scenario: an outage of the store delays the retries of clients
    When the retry delay of submissions is computed at nodes that get answers or not
    Then only an outage that all nodes see delays the retry
