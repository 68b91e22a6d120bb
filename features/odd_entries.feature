Feature: one odd value of another writer costs only itself

  # A number too large for a float made every request fail at every node; deep nesting dropped a list.
  Scenario Outline: an odd registration stops neither requests nor the list: <what>
    Given an endpoint, and beside it a registration with <what>
    When a node starts, and endpoints come, go and come under odd entries later
    Then every request is answered, and the node follows each change

    Examples:
      | what                        |
      | slots of 401 digits         |
      | slots of 16 digits          |
      | slots below 1               |
      | a start of 401 digits       |
      | a start below 0             |
      | a field nested 100000 deep  |
      | only nesting                |
      | a port of 0                 |
      | a port of 99999             |
      | a port of 401 digits        |
      | a port in other digits      |
      | an address of two lines     |
      | a number without end        |
      | bytes that are no text      |
      | an id that no header takes  |

  Scenario: whatever is stored as a registration is left out or can be used
    When any values are stored as registrations
    Then each is left out, or a request can be placed at it, sent to it and reported

  Scenario Outline: an odd header of an answer does not reach other requests: <header>
    Given an endpoint whose answers have the header <header>
    When requests are sent one after another
    Then all of them are answered

    Examples:
      | header                              |
      | X-Server-Load of other digits       |
      | X-Server-Load of 401 digits         |
      | X-Server-Load of 5000 digits        |
      | Keep-Alive of 5000 digits           |
      | Server-Limit of 401 digits          |
      | Server-Limit without end            |

  Scenario Outline: an odd call about a job is answered: <call>
    When a node gets a call with <call>
    Then the answer is <status>, and the next job is accepted and done

    Examples:
      | call                       | status |
      | items nested 100000 deep   | 400    |
      | tokens of 401 digits       | 202    |
      | a position of 401 digits   | 200    |
      | a wait without end         | 200    |

  Scenario: routes that cannot be read leave the former ones in force
    When the operator's record is nested too deep or no JSON
    Then the former routes stay in force, and the next record applies

  Scenario: bad frames of a peer end its connection and the calls that wait on it
    When a peer answers a call with any bytes
    Then the call fails at once, or when its time is over if a frame is not complete

  Scenario: an odd line of an uploaded job is refused as that line
    When lines of a job are nested too deep, no text, or name too many tokens
    Then each is refused with its reason, or read with a number of tokens that is believed
