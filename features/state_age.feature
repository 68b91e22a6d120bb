Feature: state that nodes read from the store is current within its bound after trouble of the store

  Scenario Outline: reads lost in an outage delay no change beyond the bound: <trouble>
    Given a fleet of <kind> nodes
    When the store <trouble> for <seconds> s, and routes, endpoints and nodes change after it
    Then every node acts on all of them before it counts as in touch again

    Examples:
      | kind    | trouble                           | seconds |
      | few     | is silent                         | 0.4     |
      | few     | is silent                         | 1.3     |
      | few     | is silent                         | 4.0     |
      | few     | is silent and forgets its history | 1.9     |
      | few     | resets connections                | 1.3     |
      | few     | is busy                           | 1.3     |
      | few     | refuses all calls                 | 4.0     |
      | few     | is slow                           | 1.3     |
      | few     | is silent to one node             | 2.6     |
      | divided | is silent                         | 1.3     |
      | divided | is silent                         | 4.0     |
      | divided | refuses all calls                 | 2.6     |
      | divided | is silent to one node             | 2.6     |

  Scenario: a node that lost the answer to a read learns of the change from other nodes
    Given a fleet of few nodes
    When the answers of one node's reads are lost while no call fails, and all state changes
    Then every node acts on all of them before the bound of changes of the configuration

  Scenario: reads of changes do not wait behind other calls
    Given a fleet of few nodes
    When a node makes more calls than its budget allows and all state changes
    Then every node acts on all of them before the bound of changes of the configuration

  Scenario: the longest time until state is current is below the bounds of the platform
    When the waits from the end of an outage until a node has read all changes are added up
    Then their sum is below the time after which it counts as in touch

  Scenario: a call that was lost in an outage defers no removal once the store has answered again
    Given a fleet of few nodes
    When the store is silent for a moment and an endpoint is removed when nodes count as in touch again
    Then no node uses the endpoint for longer than it may be used after it left

  Scenario: the time-out of a call that was lost in an outage is not taken for another outage
    Given a fleet of few nodes
    When a call is lost in an outage and times out after others have been answered
    Then the store does not count as failing, and the next call waits for no back-off

  Scenario: calls tell which other calls are lost
    When calls are answered, time out and fail in any order around outages
    Then each call sent in an outage is reported by the first answer after it or by a time-out
    And no call sent after the outage is reported by a call that was sent after it too

  Scenario: a listing of a leader that lags replaces no newer state
    Given a fleet of divided nodes
    When a node that knows of a leaving endpoint lists anew and its leader lags behind
    Then the endpoint counts as leaving there all the time
