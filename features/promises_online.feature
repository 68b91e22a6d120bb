Feature: Online requests under failures, with real processes

  @promise-3 @fault-load
  Scenario: Questions do not wait behind long batch items
    Given a whole fleet whose slots are all occupied by long batch items
    When questions are asked at every entry
    Then each question is answered before any of those batch items finishes

  @promise-4 @fault-crossed @fault-cut
  Scenario: Responses are swapped and streams are truncated
    Given a whole fleet with an engine that swaps responses and truncates streams
    When many different questions are asked concurrently
    Then each complete response belongs to its own question
    And each other response ends with an error

  @promise-5 @promise-6 @fault-kill @fault-lost-reply @fault-resend
  Scenario: Cards are resent repeatedly to a service that crashes
    Given a whole fleet with a service that crashes before and after running cards
    When each card is sent to every entry under its own key
    Then no card ran twice
    And no card whose responses all say not_run has run

  @promise-5 @promise-6 @fault-kill @fault-resend
  Scenario: The entry that runs a card is killed and the card is sent to another
    Given a whole fleet with a slow service
    When the entry that runs a card is killed and the card is sent to another
    Then no card ran twice

  @promise-5 @fault-outage
  Scenario: Cards are sent during an outage of the key-value service
    Given a whole fleet with a slow service
    When cards are sent during an outage of the key-value service
    Then each card is refused as not_run and has not run

  @promise-7 @fault-leaving
  Scenario: An endpoint leaves under load
    Given a whole fleet under a stream of questions
    When an engine is set to leaving
    Then that engine starts nothing from 3 seconds after the change on
    And the stream of questions had only complete responses

  @promise-8 @fault-stop
  Scenario: Every node is restarted under load
    Given a whole fleet under a stream of questions
    When each node is shut down gracefully and started again
    Then every process ended with exit code 0
    And the stream of questions had only complete responses
