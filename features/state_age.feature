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
