Feature: only the end that a read has returned ends a reply without a length

  # A read gets the last bytes of a crashing endpoint, and the send after it takes the reset's error.
  Scenario Outline: a reply that is reset while <when> is not taken for a complete one
    Given a server that answers before it has read a long request, <length> a length
    When it resets the connection after half of its reply, while <when>
    Then the client gets that half and then a failure

    Examples:
      | when                       | length  |
      | the request is being sent  | without |
      | the request is being sent  | with    |
      | the client does not read   | without |
      | the client does not read   | with    |
      | the client waits for data  | without |

  Scenario: a reply whose connection ends in an orderly way is complete
    Given a server that answers before it has read a long request, without a length
    When it ends its reply and keeps the other direction open
    Then the client gets a complete reply

  Scenario: a whole reply that arrives together with a reset is complete
    Given a server that answers before it has read a long request, with a length
    When it resets the connection after its whole reply, while the request is being sent
    Then the client gets a complete reply and does not use the connection again

  Scenario: closing the connection of an ended exchange does not close it under another request
    When the connection of an ended exchange is discarded after another request has taken it
    Then that connection stays open
