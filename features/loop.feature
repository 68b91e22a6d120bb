Feature: Tasks, timers and calls between processes

  Scenario: Timers run in the order in which they are due
    When tasks sleep for any of a set of times
    Then they wake in order of their times

  Scenario: A task that is awaited for too long is cancelled
    When a task sleeps past its timeout
    Then it has been cancelled and the waiter is told

  Scenario: A peer that answers returns the same message
    When a peer echoes a binary message of any content
    Then the message comes back unchanged

  Scenario: An event fired by a timer is handled without waiting for the next timer
    When a timer fires an event and another timer follows
    Then the loop never polled while the event was queued

  Scenario: An answer that came while the process stood still wins against its timeout
    When a process stands still past a timeout while the answer waits in the socket
    Then the waiter gets the answer
