Feature: answers of faulty endpoints are not taken for what they are not

  Scenario Outline: an error of the next engine does not reach a stream that has begun: <error>
    Given a stream that has begun and breaks off
    When the engine that resumes it answers with <error>
    Then the caller gets events only, and no end that looks complete

    Examples:
      | error                                 |
      | a status 500 and a text               |
      | a status 404 and a text               |
      | a status 200 and a text               |
      | a status 200 and a stream of an error |
      | a refusal                             |
      | a head in the middle of its body      |

  Scenario: a resumed stream that begins anew repeats no events
    Given a stream that has begun and breaks off
    When the engine that resumes it sends all events from the first one on
    Then the caller gets each event once

  Scenario: a resumed stream that leaves events out does not go on
    Given a stream that has begun and breaks off
    When the engine that resumes it leaves an event out
    Then the caller gets events only, and no end that looks complete

  Scenario Outline: an error is not taken for the output of an item: <error>
    Given a job of which an item is answered with <error>
    When the item is run again
    Then its result is the whole output and nothing else

    Examples:
      | error                                 |
      | a status 404 and a text               |
      | a status 404 and a stream of an error |
      | a status 200 and a text               |

  Scenario Outline: a head that is cut in the middle is no answer: <kind>, <length> a length, cut <where>
    Given an engine that closes <where> of its head, <length> a length
    When a <kind> request gets this head
    Then the caller gets no success that is empty or short

    Examples:
      | kind | length  | where            |
      | card | with    | within a name    |
      | card | with    | after a line     |
      | card | without | after a line     |
      | chat | without | within a name    |
      | chat | without | after a line     |
      | chat | with    | before the end   |
      | tale | without | after a line     |
