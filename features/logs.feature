Feature: logs explain failures and never block the process

  Scenario: lines are written at a limited rate, with a separate limit for failures
    When many more lines are logged than the rate limit allows
    Then the number of lines is bounded and failures are still logged

  Scenario: dropped lines are counted and reported
    When lines are logged after some were dropped
    Then a line reports how many were dropped

  Scenario: a stalled reader blocks nothing
    When nobody reads the log while lines are written
    Then the writer continues and queues a bounded number of lines
