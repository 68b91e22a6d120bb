Feature: Callers that send too much, too slowly or what is no request

  @promise-5 @fault-bad-input
  Scenario: Broken and oversized requests are refused as not run
    When bad input: broken and oversized requests of many kinds are sent
    Then bad input: each is refused with its status and not_run, and no endpoint saw it

  Scenario: Any bytes leave the entry serving others
    When bad input: any bytes are sent, whole or in pieces
    Then bad input: no endpoint saw them and the next caller is served

  Scenario: A caller that dribbles or does not read is cut off
    When bad input: callers dribble a head, a body and a job, and one does not read its answer
    Then bad input: all are cut off, nothing was run and the slot was given back

  @promise-4 @fault-pipelining
  Scenario: Requests sent before their turn are answered in order, each with its own answer
    When bad input: several requests are sent at once on one connection
    Then bad input: the answers come in order and one request ran at a time

  Scenario: A job of 79,000 items is taken in pieces and a broken one is not accepted
    When bad input: a large job, a truncated one and too many jobs at once are sent
    Then bad input: the large one is whole, taken in small pieces, and the others are refused

  Scenario: Connections over the limit are refused
    When bad input: more connections are opened than allowed
    Then bad input: those over the limit are told to go elsewhere
