Feature: The whole request path in separate processes

  Background:
    Given whole path: a fleet of three nodes in separate processes

  Scenario: A stock OpenAI client is served through located entries
    When whole path: the OpenAI client lists models, chats, streams and completes at each entry
    Then whole path: every response is complete and belongs to its own prompt

  @promise-6 @fault-resend
  Scenario: Cards are created once through any entry
    When whole path: cards are resent to other entries with the same key
    Then whole path: the service created each card once and every caller got that card

  Scenario: A batch job runs alongside questions and its results are read from any entry
    When whole path: a job of 60 items is submitted, resent and read while questions are asked
    Then whole path: every item has one result, its own, and every question its answer

  @fault-kill @fault-cut
  @promise-4 @fault-kill @fault-cut
  Scenario: Engine crashes and cut connections leave no response truncated unnoticed
    When whole path: questions are asked while engines crash and their connections are cut
    Then whole path: every response is complete and its own, or an explicit error
