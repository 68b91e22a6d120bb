Feature: a refusal that an endpoint writes once more on a kept connection is not believed

  Scenario Outline: an earlier refusal that is written again on a kept connection is not believed: <kind>, <copy>
    Given an engine that has refused a request on a connection that is kept
    When a <kind> request comes on that connection and the engine writes the refusal <copy> first
    Then the caller is not told that the request has not run, and no other engine runs it too

    Examples:
      | kind   | copy                |
      | chat   | with its id         |
      | chat   | without an id       |
      | tale   | with its id         |

  Scenario: an item that comes back to an engine meets no earlier refusal of itself
    Given an engine that has refused a request on a connection that is kept
    When a refused item is sent to the engine again, which would write the refusal again
    Then the item runs once more and completes

  Scenario Outline: a refusal written again under the id of a request that is under way again is not believed: <kind>
    When a <kind> request comes again under its id and the engine writes the refusal again first
    Then the request runs once and its caller gets the answer

    Examples:
      | kind |
      | chat |
      | tale |

  Scenario: a refusal written again by an endpoint that has taken over an address is not believed
    When a request meets an endpoint that has taken over an address and refuses it twice
    Then the request runs once and its caller gets the answer

  Scenario: a refusal with an empty id is not believed on a connection that was in use
    When a request without an id comes on a connection in use and an empty id refuses it
    Then its caller gets a failure that promises nothing

  Scenario: a refusal that has two ids is not believed on a connection that was in use
    When a request comes on a connection in use and a refusal with two ids comes first
    Then its caller gets a failure that promises nothing

  Scenario: connections carry other ids again, each id once and a bounded number
    When requests with ids that come again are sent to an engine one after another
    Then no connection has carried an id twice, and each has been used as often as it may

  Scenario: a refusal can be traced to its connection by the id of the request
    When a chat request comes again under its id and the engine writes the refusal again first
    Then a log line names the connection, its age, its requests and the ids refused there

  Scenario Outline: what a copy without an id said of its engine in the past is not taken for the present: <header>
    When an engine writes an answer without an id on a connection in use that says <header>
    Then the next requests are sent to the engine as before

    Examples:
      | header             |
      | Server-Leaving: 1  |
      | Server-Limit: 0.2  |

  # Passed on unchanged, these statuses promise callers what the engine has not said.
  Scenario Outline: status <code> of an engine that does not say that it has not run is no promise
    When an engine runs a stream that must not be repeated and answers with status <code>
    Then the caller gets a failure that promises nothing, and no other engine runs it

    Examples:
      | code |
      | 408  |
      | 429  |
      | 503  |
