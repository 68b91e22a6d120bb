Feature: all nodes stop within the life of one list of addresses

  Scenario: requests of callers that were sent to stopping nodes are not cut at their exit
    When all nodes stop one after another while callers look up addresses and open connections
    Then no node exits with an open request
    And every request that reached an endpoint got its complete response
    And no list was given out that outlasts a node that it names

  Scenario: a list of addresses never outlasts a node that it names, and begun requests end in time
    When any number of nodes stop in any series while callers look up addresses and send requests
    Then every caller with an unexpired list met a running process
    And every request that began ended before its process exited
    And no request was refused whose deadline was before the exit of its node

  Scenario: a request that waits, uploads or streams begins only if it ends before the exit
    When requests of every kind arrive late at a stopping node
    Then each of them is refused at once as not run, with a time to come again

  Scenario: a request that has got no answer when its process exits is told so
    When a node exits while an endpoint has not answered a request
    Then the caller gets a failure that promises nothing, not a closed connection

  Scenario: long requests that come until the exit are answered or refused, never cut
    When callers that look up no addresses send long requests to a node until it exits
    Then no node exits with an open request
    And every request that reached an endpoint got its complete response
    And the late ones are refused

  Scenario: a node without a report does not displace stopping nodes that still serve
    When a node fails, the others stop and one of these returns
    Then lists name stopping nodes for the time that they have left, beside one without a report
    And then only the one that has returned

  Scenario: standby nodes do not send callers to active nodes that all stop
    When all active nodes of a large fleet stop while standby nodes serve
    Then standby nodes name no stopping node

  Scenario: a stopped node does not stay registered because the store fails or it was registering
    When a node is stopped while the store refuses calls and while it registers
    Then its registration is gone soon after

  Scenario: a caller that left does not make a stopping node begin what it cannot finish
    When the only earlier call was given up by its caller, and another one is still running
    Then a stopping node judges a late call by the assumed duration, and by the running one

  # Short answers before a long one made a stopping node begin it, and its exit cut it.
  Scenario: a long stream that arrives late in a stop is not begun because others were short
    When short requests have ended, and long ones arrive late at a stopping node
    Then each of them is refused at once as not run, with a time to come again
    And those whose deadline is before the exit are answered

  Scenario: a stopping node does not retry what may outlast it
    When an endpoint refuses a long request after its node has begun to stop
    Then it is refused as not run, and no other endpoint gets it

  Scenario: while all nodes stop, a refusal names the time when the first of them is back
    When requests are refused while all nodes stop, and once one of them is back
    Then they are told to come when a node has exited and started, and then at once
