Feature: Running a call at endpoints under failure

  @promise-5 @promise-6 @fault-kill @fault-cut
  Scenario: The decision after a failed attempt depends on what provably happened
    When dispatch: decisions are made on any series of failed attempts
    Then dispatch: a non-idempotent call is retried only if it provably did not run
    And dispatch: not_run is reported only if no attempt can have run
    And dispatch: no call is retried after the caller received a part that cannot be resumed

  Scenario: Retries stay within a fraction of recent requests
    When dispatch: requests and retries arrive at any times
    Then dispatch: the retries of any ten seconds stay within the budget

  Scenario: A request fails over when an endpoint fails before the first byte
    When dispatch: the first endpoint closes a plain and a streamed chat without answering
    Then dispatch: both responses are complete and come from the second endpoint
    And dispatch: the failures are attributed to the first endpoint and every slot is released

  @promise-4 @fault-cut
  Scenario: An interrupted stream that cannot be resumed ends with an explicit error
    When dispatch: the stream of an endpoint without resume is interrupted
    Then dispatch: the caller gets an error event with ran, no end marker and a closed connection

  @promise-4 @fault-cut
  Scenario: An interrupted stream is resumed by an engine
    When dispatch: an engine breaks a stream after any number of tokens
    Then dispatch: the caller receives the complete text exactly once

  @promise-6 @fault-kill @fault-lost-reply
  Scenario: A non-idempotent call is executed at most once
    When dispatch: non-idempotent calls are sent to endpoints that fail in any way
    Then dispatch: no call is executed twice and not_run is reported only for calls never executed

  Scenario: A hung endpoint is abandoned while another can still answer in time
    When dispatch: the first endpoint hangs before and after the start of a stream
    Then dispatch: the second endpoint answers before the deadline

  Scenario: A pooled connection closed by the endpoint does not count as its failure
    When dispatch: an endpoint closes a connection on its second request
    Then dispatch: the call is answered on a new connection and no failure is recorded

  @promise-4 @fault-crossed
  Scenario: A response to another attempt is discarded
    When dispatch: an endpoint answers with another attempt's id
    Then dispatch: the response comes from the other endpoint and the mismatch is counted

  @promise-4 @fault-late
  Scenario: Late responses reach no other caller
    When dispatch: many requests with short deadlines are sent to a slow endpoint
    Then dispatch: each caller gets its own response or a refusal

  Scenario: A caller that disconnects frees the endpoint and the slot
    When dispatch: callers disconnect before and during the response
    Then dispatch: the endpoint sees the disconnections and every slot is released

  Scenario: A revoked batch call stops immediately and resumes later
    When dispatch: batch calls are revoked at any time
    Then dispatch: each stops, frees the engine and resumes to the complete response
