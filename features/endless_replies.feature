Feature: replies that never end, or stall without falling silent, cost bounded time and memory

  Scenario Outline: an endpoint that sends <what> is given up in time
    When an endpoint replies to a card by <what>
    Then the card comes from another endpoint in time, and the connection is closed

    Examples:
      | what                                 |
      | a head without end                   |
      | a head one byte at a time            |
      | interim responses without end        |
      | a refusal whose body has no end      |
      | an error whose body has no end       |
      | a body one byte at a time            |
      | a response to another without end    |
      | a refusal that is not its own        |

  Scenario: a body without end is forwarded no longer than the request may take
    When an endpoint never ends the large body of a card
    Then the caller's response ends as incomplete at its deadline, with bounded memory

  Scenario Outline: a stream that stalls while it sends <what> resumes at another endpoint
    When an endpoint sends only <what> within a tale
    Then the tale resumes within the maximum pause that counts as on time

    Examples:
      | what                        |
      | a byte of an event          |
      | parts of one endless event  |

  Scenario: a stalled batch item resumes at another endpoint
    When an endpoint stalls within an item and sends a byte now and then
    Then the item is listed with its whole output

  Scenario: a slow but sound stream is not cut
    When an endpoint sends a chat and a tale slowly but within their pauses
    Then both arrive complete from their first endpoint

  Scenario: a stream that is not resumable and never ends is cut at its deadline
    When an endpoint sends events of a chat without end
    Then the caller's response ends as incomplete at its deadline, with bounded memory

  Scenario: a reply of the key-value service without end does not hold a node up
    When the key-value service sends a body without end to one call
    Then the call fails in time, and the node serves on

  Scenario: a stream that ends with its connection within an event is not passed on as complete
    When endpoints end streams without a length within an event, and between two events
    Then the one that was broken off is incomplete, or resumed where the route allows it
    And the other one is complete

  Scenario Outline: eight endpoints that send <what> at once leave the other requests their answers
    When eight endpoints send <what> without end beside a slow reader and sound requests
    Then every sound request is answered within half a second
    And memory stays within its bounds, also for the slow reader

    Examples:
      | what                                   |
      | chunks of two bytes                    |
      | large chunks                           |
      | interim responses                      |
      | trailers                               |
      | each another kind                      |

  Scenario Outline: <what> before the reply are given up at the size of one head
    When eight endpoints send <what> without end beside a slow reader and sound requests
    Then the requests to them fail for the size of the heads

    Examples:
      | what                           |
      | interim responses              |
      | interim responses with headers |
      | responses to another           |

  Scenario: a stream whose bytes complete no event is cut before its deadline
    When callers ask for chats at an endpoint that sends chunks of one byte without end
    Then each ends as incomplete long before its deadline
    And the endpoint is held back, and named in one log line

  Scenario: an endpoint whose refusals have no end is held back
    When callers ask for cards at an endpoint that sends a refusal without end
    Then the endpoint is held back

  Scenario: replies without end that are read as a whole share a bounded memory
    When eight calls to services are answered by large chunks without end
    Then they fail below the memory for all replies, and a small reply beside them comes whole

  Scenario Outline: a watch that is sent <what> without end is opened again
    When the watched service sends <what> without end
    Then the watch is opened again, with one log line for each time

    Examples:
      | what                      |
      | empty events              |
      | large chunks              |
      | lines that are no message |
      | lines that are no object  |

  Scenario: forty connections that wait for their share leave each turn to others
    When forty connections need much longer than their share of a turn
    Then few of them are served in one turn, and all in the end

  Scenario: failed exchanges release what they have received
    When a thousand requests meet header lines without end, and no collection of garbage
    Then they all fail, and memory does not hold what they have received

  Scenario: an item whose events have no end is run anew at another endpoint
    When a job runs at an endpoint that sends events without end, and then at a sound one
    Then memory held no more than a result may have, and the item is listed with its whole output

  Scenario: a long but sound stream is not cut
    When an endpoint sends a chat and a tale of many events, far larger than one event may be
    Then both arrive whole from their first endpoint
