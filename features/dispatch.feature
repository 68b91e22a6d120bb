Feature: Running a call at endpoints under failure

  @promise-5 @promise-6 @fault-kill @fault-cut
  Scenario: What follows a failed attempt depends on what provably happened
    When dispatch: any series of failed attempts is decided on
    Then dispatch: a call that must not be repeated is tried again only after it provably did not run
    And dispatch: not_run is said only if no attempt can have run
    And dispatch: nothing is tried again after the caller saw a part that cannot be resumed

  Scenario: Retries stay a share of recent requests
    When dispatch: requests and retries come at any times
    Then dispatch: the retries of any ten seconds stay within the budget

  Scenario: An endpoint that dies before its first byte is replaced by another
    When dispatch: the first endpoint closes unanswered for a chat and a streamed chat
    Then dispatch: both answers are whole and come from the second endpoint
    And dispatch: the failure was laid to the first endpoint and every slot was given back

  @promise-4 @fault-cut
  Scenario: A stream cut midway without a resume ends as an explicit error
    When dispatch: an endpoint without resume is cut midway
    Then dispatch: the caller sees an error event that says ran, no end mark and a closed connection

  @promise-4 @fault-cut
  Scenario: A stream cut midway is resumed through the engine
    When dispatch: an engine breaks a stream after any number of tokens
    Then dispatch: the caller sees the whole text once

  @promise-6 @fault-kill @fault-lost-reply
  Scenario: A call that must not be repeated reaches an endpoint at most once
    When dispatch: calls that must not be repeated meet endpoints that fail in any way
    Then dispatch: no call was executed twice and not_run was said only of calls never executed

  Scenario: A frozen endpoint is given up while another can still answer
    When dispatch: the first endpoint freezes before and after the start of a stream
    Then dispatch: the second endpoint answers before the deadline

  Scenario: A pooled connection that the endpoint has closed is no fault of the endpoint
    When dispatch: an endpoint closes a connection on its second request
    Then dispatch: the call is answered there on a new connection and nobody is blamed

  @promise-4 @fault-crossed
  Scenario: A crossed answer is dropped
    When dispatch: an endpoint answers with another attempt's id
    Then dispatch: the answer comes from the other endpoint and the crossing is counted

  @promise-4 @fault-late
  Scenario: Late answers reach nobody else
    When dispatch: many requests with short deadlines meet a slow endpoint
    Then dispatch: each caller got its own answer or a refusal

  Scenario: A caller that goes frees the endpoint and the slot
    When dispatch: callers go before and during the answer
    Then dispatch: the endpoint saw them go and every slot was given back

  Scenario: A batch call yields at once and resumes
    When dispatch: batch calls are revoked at any time
    Then dispatch: each yields, frees the engine and continues to the whole answer
