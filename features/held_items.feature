Feature: batch items that a quarantine holds back are tried again in time

  Scenario: held items run soon after their part has stopped crashing endpoints
    When jobs at all nodes have items with a part that crashes endpoints until its first trial
    Then all of these items complete within 40 s of that crash

  Scenario: a trial whose node sends no request is made by another node soon
    When the node that has claimed a trial gets no more requests
    Then another node lets a request through within 10 s

  Scenario: each held item is tried again within 20 s while crashes have cut few runs with its part
    When items with a deadly part are held after crashes have cut three runs
    Then each has had a run, and one that failed in the last 20 s, until all early trials are made
    And at most three requests with the part are sent later than 3 s after its fifth crash

  Scenario: a quarantine costs few crashes, whatever waits and however long it lasts
    When many items with a deadly part are held for an hour after crashes have cut any number of runs
    Then at most three requests with the part are sent later than 3 s after its fifth crash
    And trials crash an endpoint at most five times

  Scenario: items whose part is mended run soon
    When items are held after crashes have cut three runs and their part is mended while they wait
    Then all of them begin within 20 s of the mending, or of their arrival
    And trials that never begin at an endpoint delay that by a few seconds each

  Scenario: the items that all nodes hold are tried at one endpoint, at the cost of one crash
    When the last early trial is due and three nodes hold an item each
    Then one endpoint gets all three, crashes once, and no other gets any

  Scenario: a trial is not preempted before it has told anything
    When online requests need the slot of a trial whose answer has not begun
    Then the trial goes on, and its item is preempted once it has survived

  Scenario: a single trial that finds no endpoint is given back
    When a late trial is claimed while its request can be sent nowhere
    Then the fleet still has as many late trials as before

  Scenario: news of a joint trial that comes after its crash sends no further items
    When a node hears of a joint trial after its crash, or has just started and reads its claim
    Then it takes no part in the trial, and plans no other joint one

  Scenario: an answer that crashes nothing is no cut run
    When all items of a joint trial are refused by their endpoint
    Then the next trial may be a joint one again

  Scenario: an item that cannot be sent keeps no other from a trial
    When one of the items that a node holds has a header beyond Latin-1
    Then the others are tried, and that item is given up

  Scenario: a group that was released does not come back by a renewal of another node
    When a group is released while another node writes it
    Then no node has it afterwards, and its key is gone

  Scenario: the claim of a trial whose reply is lost is still made use of
    When the store applies the claim of a late trial and its reply is lost
    Then the node that claimed it lets one request through
