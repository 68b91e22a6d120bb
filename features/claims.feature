Feature: A keyed request that must not be repeated runs at most once

  @promise-5 @promise-6 @fault-kill @fault-outage @fault-lost-reply @fault-resend
  Scenario: At most one execution per key under resends, lost replies, outages and killed entries
    When claims: requests are sent and resent to entries whose service loses replies and that die
    Then claims: no key is executed twice
    And claims: every answer of a key is that of its one execution
    And claims: a key that another entry runs is answered unknown only while no answer is kept

  Scenario: A resend to another entry gets the stored answer
    When claims: a card is sent to one entry, then again to another, then with other content
    Then claims: the card ran once, the answers are the same and the other content is a conflict

  @promise-5 @fault-outage
  Scenario: Nothing runs without the key-value service
    When claims: a card is sent during an outage and again after it
    Then claims: the first is refused as not run and the second runs once

  Scenario: A caller that goes leaves its answer to the resend
    When claims: a caller goes while its card is being written
    Then claims: the resend gets the answer of the one execution

  @promise-6 @fault-kill @fault-resend
  Scenario: The resend of a request whose entry died is told that the outcome is unknown
    When claims: an entry dies while it runs a card
    Then claims: the resend is answered unknown and the card is not run again

  Scenario: A streamed call that must not be repeated is claimed like any other
    When claims: a streamed chat of a kind that must not be repeated is sent to two entries
    Then claims: it ran once and both callers got the whole stream
