Feature: a front process passes requests on unchanged and repeats only what may be repeated

  Scenario: a request reaches the endpoint as it was sent
    When a caller sends a request with headers, a query and a body of its own
    Then the endpoint sees them unchanged, its own name expected and what is left of the deadline

  Scenario: a safe answer comes back as the endpoint sent it
    When a caller asks for a card
    Then status, body and the endpoint's headers come back

  Scenario: events are passed on as they come
    When a caller asks for a stream
    Then all events come in order and the answer is complete

  Scenario Outline: a safe request is repeated after any failure
    When an endpoint fails a card by <failure>
    Then the card comes from another attempt

    Examples:
      | failure                     |
      | closing without an answer   |
      | shedding                    |
      | a status 500                |
      | an answer without proof     |
      | an answer of another        |
      | a truncated answer          |
      | an encoded answer           |
      | bytes that are no answer    |
      | a reset answer of no length |

  Scenario: a stream that must not be repeated is sent once
    When an endpoint closes without an answer to a chat
    Then the chat was sent once and the caller gets a status that promises nothing

  Scenario: a stream that has not run is tried elsewhere
    When an endpoint sheds a chat
    Then another endpoint answers it

  Scenario: a stream that nobody runs is refused with a time to come back
    When all endpoints shed a chat
    Then the refusal is 503 and tells when to come back

  Scenario: a resumable stream goes on at another endpoint behind the last whole event
    When an endpoint breaks a tale off within an event
    Then the caller sees every event once under the first endpoint's headers

  Scenario: a resumable stream goes on when its endpoint falls silent
    When an endpoint falls silent within a tale
    Then the tale goes on within the longest pause that is on time

  Scenario: a stream that breaks off and may not go on looks incomplete
    When an endpoint breaks a chat off within an event
    Then the caller's answer is incomplete

  Scenario: an answer to another request is skipped
    When an endpoint sends an extra answer before the one that is due
    Then the caller gets its own answer

  Scenario: an early answer to a long body leaves no connection behind
    When an endpoint answers before it has read a long body
    Then the next request goes over another connection

  Scenario: an endpoint hears at once that its caller has gone
    When a caller leaves a stream
    Then the endpoint's connection is closed within half a second

  Scenario: an endpoint at another's address runs nothing
    When an address has been taken over by another endpoint
    Then the request runs at the endpoint that was meant

  Scenario: requests of unknown routes are refused, and all before any route is known
    When a caller asks for an unknown route before and after routes are known
    Then the first answer is 503 and the second is 404

  Scenario: a request is given up at its route's time limit
    When an endpoint never answers a chat with a short time limit
    Then the caller is answered soon after the limit

  Scenario: the longest prefix selects the route
    When any paths are looked up in any routes
    Then the route is the one with the longest prefix, and never one of another host

  Scenario: routes never go back to an older version
    When versions arrive in any order
    Then the version in force only grows

  Scenario: a request in chunks is passed on whole
    When a caller sends its body in chunks
    Then the endpoint gets the whole body under one length

  Scenario: an answer without a length ends with its connection
    When an endpoint answers without a length
    Then the caller gets the whole answer and sees its end

  Scenario: interim answers are passed over
    When an endpoint sends interim answers before its own
    Then the caller gets the final answer alone

  Scenario: a kept connection is not used after its idle time
    When two requests are further apart than an endpoint keeps connections
    Then the second goes over a new connection and is answered

  Scenario: a caller that stays idle is closed at the configured time
    When a caller's connection stays idle beyond the configured time
    Then the connection is closed
