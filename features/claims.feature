Feature: A non-idempotent request with a key runs at most once

  @promise-5 @promise-6 @fault-kill @fault-outage @fault-lost-reply @fault-resend
  Scenario: At most one execution per key under resends, lost replies, outages and killed entries
    When claims: requests are sent and resent to entries that are killed and whose store loses replies
    Then claims: no key is executed twice
    And claims: every response for a key is that of its one execution
    And claims: a key that another entry runs gets unknown only while no outcome is stored

  Scenario: A resend to another entry gets the stored response
    When claims: a card is sent to one entry, then again to another, then with other content
    Then claims: the card ran once, the responses are equal and the other content is a conflict

  @promise-5 @fault-outage
  Scenario: Nothing runs without the key-value service
    When claims: a card is sent during an outage and again after it
    Then claims: the first is refused as not run and the second runs once

  Scenario: A resend gets the response after the first caller has disconnected
    When claims: a caller disconnects while its card is being written
    Then claims: the resend gets the response of the one execution

  @promise-6 @fault-kill @fault-resend
  Scenario: A resend gets unknown if the entry that ran the request was killed
    When claims: an entry is killed while it runs a card
    Then claims: the resend gets unknown and the card is not run again

  Scenario: A streamed non-idempotent call is claimed like any other
    When claims: a streamed chat of a non-idempotent kind is sent to two entries
    Then claims: it ran once and both callers got the complete stream
