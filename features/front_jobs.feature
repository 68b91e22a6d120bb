Feature: batch jobs are kept whole in the platform's store and every item is listed once

  Scenario: a job is accepted, run and read at any node
    When a job is submitted at one node and read at another
    Then every item is listed once with its whole output

  Scenario: a job that is submitted again is the same job
    When a job is submitted three times at different nodes
    Then all answers accept it and no item runs twice

  Scenario: a lost answer of the store neither loses nor doubles a job
    When the store's answer to a submission is lost
    Then the job is accepted and every item is listed once

  Scenario: a submission that the store refuses is refused as not run
    When the store refuses all calls while a job is submitted
    Then the answer is 503 and no item runs

  Scenario: results are read long after the store has forgotten their history
    When a reader comes back after the store has forgotten its history
    Then the results stand at the same positions

  Scenario: a job whose node is gone is taken over
    When the node that runs a job is gone in the middle of an item
    Then another node lists all items

  Scenario: a result that was listed although the answer was lost is not listed again
    When the store's answers to listings are lost
    Then every item is listed once with its whole output

  Scenario: an item that can never be done is given up at once
    When the endpoint says that an item can never be done
    Then the item is given up after one run

  Scenario: an item that fails everywhere is given up after its attempts
    When an item fails at every run
    Then the item is given up after three runs

  Scenario: an item that breaks off goes on behind its last event
    When endpoints break an item off again and again
    Then its output has every event once

  Scenario: items of an ended job are no longer run
    When a job is ended while its items run
    Then its runs are cut within half a second and nothing runs after

  Scenario: an item's body can be read
    When the bodies of a job's items are read at another node
    Then they are what was submitted

  Scenario: a batch item gives its slot to online requests
    When online requests fill the endpoint that runs batch items
    Then the items leave, go on later, and lose no event

  Scenario Outline: submissions that cannot be read are refused
    When a job is submitted as <what>
    Then the answer is 400 and nothing is kept

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

  Scenario: a reader who waits costs few calls
    When a reader waits at the end of a job's results
    Then the store gets few calls meanwhile

  Scenario: many results that have waited for the store are listed after its return
    When the store is away while all items of a large job end
    Then every item of the large job is listed once soon after its return

  Scenario: a node that stops hands its items over where they are
    When the node that runs a job stops as planned in the middle of long items
    Then another node goes on behind the events that were saved

  Scenario: a node that is lost costs what its items did since the last save
    When the node that runs a job is lost after its items' progress was saved
    Then another node goes on behind the events that were saved

  Scenario: a node that is cut from the store refuses jobs at once
    When a job is submitted to a node whose calls to the store have begun to fail
    Then it is refused as not run at once, and asked to come again at once

  Scenario: an outage of the store asks clients back later
    When submissions are weighed at nodes that get answers or not
    Then only an outage that all nodes see asks clients back later
