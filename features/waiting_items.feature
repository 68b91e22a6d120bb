Feature: each state of a waiting batch item is readable from one line and a metric

  Scenario: an item that a quarantine holds back
    When an item is held by a quarantined group whose trials change, and is released
    Then one line at each change tells the group, its trials and when the next is due
    And a line tells that the hold has ended, and the metric counted the item meanwhile

  # Items of a route without room are not looked at, also those that are held.
  Scenario: an item that stays held while its route has no room
    When an online request takes the slot of another item of its route
    Then the metric counts one item as held, one as running and one as without room

  Scenario: an item that no route takes
    When the route of an item is removed
    Then one line and the metric say that it waits for "no_route"

  Scenario: an item whose service has no endpoint
    When the only endpoint of an item's service is removed
    Then one line and the metric say that it waits for "no_endpoint"

  Scenario: an item that no endpoint has room for
    When all slots are in use for several seconds
    Then one line and the metric say that it waits for "no_room"

  Scenario: an item that is done and cannot be listed
    When the store fails before the result of an item is listed
    Then one line and the metric say that it waits for "not_listed"

  Scenario: an item that runs or has just run
    When the runs of an item are refused again and again
    Then the metric counts it as running and as paused, without a line of its own

  Scenario: items of which nothing is left to do are forgotten
    When a job is done and another one is ended while its items wait
    Then no item counts as waiting any more

  # A log that is limited drops the lines of all when one kind takes its rate.
  Scenario: many items that change together do not flood the log
    When a thousand items find no endpoint at the same time
    Then at most three lines a turn are written, and the metric counts all of them

  Scenario: lines of items that wait only for the end of a burst are not written
    When a thousand items find no room for a second
    Then no line is written, and the metric counts all of them

  Scenario: a trial that ends tells how
    When a request of a quarantined group is let through as a trial and its connection is cut
    Then one line tells that the trial began, was cut and how long it took

  Scenario: the reason is found from the item's id
    When an item is held by a quarantined group and its id is explained
    Then the explanation contains the hold, the start of the quarantine and its end
