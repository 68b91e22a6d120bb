Feature: Graceful shutdown

  @promise-8 @fault-stop
  Scenario: A shutdown waits for every locate result to expire and every request to finish
    When a shutdown plan is run with any sequence of locate results and requests
    Then the shutdown plan never ends while a caller may connect or is served

  @promise-8 @fault-stop
  Scenario: A shutdown interrupts no request
    When an entry is stopped while callers stream, read slowly and use old locate results
    Then every caller of the stopping entry got its complete response
    And the stopping entry was known as leaving before it exited

  Scenario: A second signal exits at once and logs the interrupted requests
    When a stopping entry with an open request gets a second signal
    Then the immediate exit logged the interrupted request

  Scenario: A repeated SIGTERM does not interrupt requests of a process that its supervisor ends
    When a process whose supervisor ends it gets SIGTERM twice and then SIGINT
    Then the requests go on after the second SIGTERM, and SIGINT forces the stop

  Scenario: A process that follows an agent announces that it leaves before it stops
    When a process that follows an agent is stopped
    Then its service had left the fleet view before its work was handed over
