Feature: callers and nodes that send without end cost a bounded share of a turn and of memory

  Scenario Outline: callers that send <what> without end do not hold up the others
    When callers send <what> without end
    Then the other requests are answered, and turns and memory stay within their bounds

    Examples:
      | what                  |
      | header lines          |
      | one header line       |
      | blank lines           |
      | heads of many headers |
      | a body over the limit |
      | tiny chunks           |
      | chunk extensions      |
      | one chunk extension   |
      | trailers              |
      | pipelined requests    |
      | a job of tiny chunks  |

  Scenario Outline: what callers send without end is refused with its status: <what>
    When one caller sends <what> without end and reads the answer
    Then the answer has the status <status>, names nothing that was run, and the connection is closed

    Examples:
      | what                  | status |
      | header lines          | 400    |
      | one header line       | 400    |
      | blank lines           | 400    |
      | heads of many headers | 400    |
      | a body over the limit | 413    |
      | tiny chunks           | 413    |
      | chunk extensions      | 413    |
      | one chunk extension   | 400    |
      | trailers              | 400    |

  Scenario: the memory of a body of tiny chunks is that of its bytes
    When a caller sends a body in the smallest chunks
    Then the process holds not much more than the bytes of the body

  Scenario: callers that pipeline requests and read no answers hold a bounded part of the memory
    When callers send requests whose answers are not read without end
    Then the other requests are answered, and turns and memory stay within their bounds

  Scenario: large answers that many callers never read hold a bounded part of the memory
    When many callers never read their large answers
    Then the other requests are answered, and turns and memory stay within their bounds

  Scenario: callers of many kinds at once, beside slow readers, do not hold up the others
    When callers send many kinds without end at once, beside some that never read
    Then the other requests are answered, and turns and memory stay within their bounds

  Scenario: a slow but sound upload is served beside callers that send without end
    When a caller sends a sound body slowly beside callers that send tiny chunks without end
    Then its body arrives whole

  Scenario: a caller whose bytes wait to be read is not late
    When a caller that has sent nothing for long waits to be read
    Then it is late only after it has been read

  Scenario Outline: nodes that send <what> without end do not hold up the others
    When nodes send <what> without end
    Then the other requests are answered, and turns and memory stay within their bounds

    Examples:
      | what                                   |
      | empty calls                            |
      | calls of no known method               |
      | calls that wait                        |
      | calls whose large answers are not read |
      | a frame of huge length                 |
      | large frames                           |
      | almost whole frames                    |

  Scenario Outline: a node that answers with <what> without end is disconnected
    When a node answers calls with <what> without end
    Then the other requests are answered, and turns and memory stay within their bounds
    And its connections were closed

    Examples:
      | what                     |
      | empty answers            |
      | answers to no call       |
      | an answer of huge length |

  Scenario: a frame that never ends is given up in time
    When a node begins a frame and sends no more of it
    Then its connections were closed

  Scenario: calls that go on after their connection has closed are limited in sum
    When nodes connect, begin calls that wait and close, again and again
    Then calls over the limit of all connections are refused as such

  Scenario: a node that reads no calls is not sent calls without end
    When a node reads none of many large calls
    Then the calls over the limit fail as not run

  Scenario Outline: <what> without end do not hold up the others
    When a node sends <what> without end
    Then the other requests are answered, and turns and memory stay within their bounds
    And load reports of a bounded number of nodes are kept

    Examples:
      | what                       |
      | large load reports         |
      | load reports of many nodes |
      | arbitrary datagrams        |

  Scenario: a load report with a host name as its address does not have it looked up
    When a node reports a host name as its address
    Then no name is looked up for it
