Feature: logs explain failures and never hold the process up

  Scenario: lines come at a bounded rate, failures apart from successes
    When many more lines are logged than the budget allows
    Then the number of lines is bounded and failures are not crowded out

  Scenario: what was dropped is said
    When lines are logged after some were dropped
    Then a line tells how many were dropped

  Scenario: a reader that stalls blocks nothing
    When nobody reads the log while lines are written
    Then the writer goes on and keeps a bounded number of lines
