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

  # Passed on unchanged, these statuses promise callers what the engine has not said.
  Scenario Outline: status <code> of an engine that does not say that it has not run is no promise
    When an engine runs a stream that must not be repeated and answers with status <code>
    Then the caller gets a failure that promises nothing, and no other engine runs it

    Examples:
      | code |
      | 408  |
      | 429  |
      | 503  |
