Feature: Planned stop

  @promise-8 @fault-stop
  Scenario: A stop waits for every answer and request whatever comes in which order
    When a stop plan meets any course of answers and requests
    Then the stop plan never ends while a caller may come or is served

  @promise-8 @fault-stop
  Scenario: A stop cuts no request
    When an entry is stopped while callers stream, read slowly and come with old answers
    Then every caller of the stopping entry got its whole answer
    And the stopping entry was known to leave before it ended

  Scenario: A second signal ends at once and says what it cuts
    When a stopping entry with an open request is told to stop again
    Then the hurried stop named the request that it cut

  Scenario: A process that follows an agent leaves before it stops
    When a following process is stopped
    Then its service had left the view before its work was handed over
