Feature: The whole path in separate processes

  Background:
    Given whole path: a fleet of three nodes in processes of their own

  Scenario: A stock OpenAI client is served through located entries
    When whole path: the OpenAI client lists models, chats, streams and completes at each entry
    Then whole path: every answer is whole and that of its own prompt

  @promise-6 @fault-resend
  Scenario: Cards are made once through any entry
    When whole path: cards are sent again to other entries under the same key
    Then whole path: the service made each card once and every caller got that card

  Scenario: A batch job runs beside questions and its results are read from any entry
    When whole path: a job of 60 items is submitted, resent and read while questions are asked
    Then whole path: every item has one result, its own, and every question its answer

  @fault-kill @fault-cut
  @promise-4 @fault-kill @fault-cut
  Scenario: An engine that dies and a network that cuts leave no answer short
    When whole path: questions are asked while engines crash and their connections are cut
    Then whole path: every answer is whole and its own or an explicit error
