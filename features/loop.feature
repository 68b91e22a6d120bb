Feature: Tasks, timers and calls between processes

  Scenario: Timers run in the order in which they are due
    When tasks sleep for any of a set of times
    Then they wake in order of their due times

  Scenario: A task that is awaited for too long is cancelled
    When a task sleeps past its timeout
    Then it is cancelled and the waiter gets a timeout

  Scenario: A peer echoes a message unchanged
    When a peer echoes a binary message of any content
    Then the message is returned unchanged

  Scenario: An event fired by a timer is handled without waiting for the next timer
    When a timer fires an event and another timer follows
    Then the loop never polled while the event was queued

  Scenario: An answer that arrived while the process was blocked wins over its timeout
    When a process is blocked past a timeout while the answer waits in the socket
    Then the waiter gets the answer
