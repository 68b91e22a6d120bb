Feature: Oversized, slow and malformed requests

  @promise-5 @fault-bad-input
  Scenario: Malformed and oversized requests are refused as not run
    When bad input: malformed and oversized requests of many kinds are sent
    Then bad input: each is refused with its status and not_run, and reaches no endpoint

  Scenario: An entry keeps serving other callers after arbitrary bytes
    When bad input: arbitrary bytes are sent in one or more chunks
    Then bad input: none reach an endpoint and the next caller is served

  Scenario: Callers that send slowly or do not read are disconnected
    When bad input: callers send a head, a body and a job slowly, and one does not read its response
    Then bad input: all are disconnected, nothing was run and the slot was released

  @promise-4 @fault-pipelining
  Scenario: Pipelined requests are answered in order, each with its own response
    When bad input: several requests are pipelined on one connection
    Then bad input: the responses arrive in order and one request ran at a time

  Scenario: A job of 79,000 items is accepted in chunks and a truncated one is refused
    When bad input: a large job, a truncated one and too many concurrent jobs are sent
    Then bad input: the large one is complete, read in small chunks, and the others are refused

  Scenario: Connections over the limit are refused
    When bad input: more connections are opened than allowed
    Then bad input: those over the limit are refused with 503
