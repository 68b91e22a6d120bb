Feature: a front process forwards requests unchanged and retries only where that is safe

  Scenario: a request reaches the endpoint as it was sent
    When a caller sends a request with headers, a query and a body of its own
    Then the endpoint gets them unchanged, with its own name expected and the remaining time

  Scenario: the response to a safe request is returned as the endpoint sent it
    When a caller requests a card
    Then status, body and the endpoint's headers are returned

  Scenario: events are forwarded as they arrive
    When a caller requests a stream
    Then all events arrive in order and the response is complete

  Scenario Outline: a safe request is retried after any failure
    When an endpoint fails a card by <failure>
    Then the card comes from another attempt

    Examples:
      | failure                         |
      | closing without a response      |
      | shedding                        |
      | a status 500                    |
      | a response without signature    |
      | a response to another request   |
      | a truncated response            |
      | an encoded response             |
      | bytes that are no response      |
      | a reset response without length |

  Scenario: a non-repeatable stream is sent once
    When an endpoint closes the connection without a response to a chat
    Then the chat was sent once and the caller gets a status that does not rule out execution

  Scenario: a stream that has not run is retried at another endpoint
    When an endpoint sheds a chat
    Then another endpoint answers it

  Scenario: a stream that no endpoint runs is refused with a retry time
    When all endpoints shed a chat
    Then the refusal is 503 with a retry time

  Scenario: a resumable stream resumes at another endpoint after the last complete event
    When an endpoint truncates a tale within an event
    Then the caller gets every event once under the first endpoint's headers

  Scenario: a resumable stream resumes elsewhere when its endpoint stalls
    When an endpoint stalls within a tale
    Then the tale resumes within the maximum pause that counts as on time

  Scenario: a truncated stream that cannot resume is incomplete for the caller
    When an endpoint truncates a chat within an event
    Then the caller's response is incomplete

  Scenario: a response to another request is skipped
    When an endpoint sends an extra response before the expected one
    Then the caller gets its own response

  Scenario: a connection with an early response to a long body is not reused
    When an endpoint responds before it has read a long body
    Then the next request uses another connection

  Scenario: an endpoint is disconnected as soon as its caller is
    When a caller disconnects during a stream
    Then the endpoint's connection is closed within half a second

  Scenario: an endpoint that took over another's address does not run its requests
    When an address has been taken over by another endpoint
    Then the request runs at the intended endpoint

  Scenario: requests without a matching route are refused, and all requests before any route is known
    When a caller requests an unknown route before and after routes are known
    Then the first response is 503 and the second is 404

  Scenario: a request is aborted at its route's timeout
    When an endpoint never responds to a chat with a short timeout
    Then the caller gets a response soon after the timeout

  Scenario: the longest prefix selects the route
    When arbitrary paths are looked up in arbitrary routes
    Then the route is the one with the longest prefix and the same host

  Scenario: routes never revert to an older version
    When versions arrive in any order
    Then the active version never decreases

  Scenario: a chunked request is forwarded as a whole
    When a caller sends its body in chunks
    Then the endpoint gets the complete body with one length

  Scenario: a response without a length ends with its connection
    When an endpoint responds without a length
    Then the caller gets the complete response and its end

  Scenario: interim responses are skipped
    When an endpoint sends interim responses before the final one
    Then the caller gets only the final response

  Scenario: a pooled connection is not reused after its idle time
    When two requests are further apart than the endpoint's keep-alive time
    Then the second uses a new connection and is answered

  Scenario: a caller's idle connection is closed at the configured time
    When a caller's connection stays idle beyond the configured time
    Then the connection is closed
