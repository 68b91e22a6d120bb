Feature: whatever an endpoint writes twice, what is believed is the answer to that sending

  Scenario: copies of responses, in any order and in pieces, are never believed
    When requests, some under an id that comes again, meet copies of all kinds at any time
    Then each response that was believed was that to its sending, and many were

  Scenario Outline: a response written once more <time> tells no caller anything untrue
    When an engine writes its first response of any status once more <time>
    Then every other request has run once, and its caller gets its own answer or a failure that promises nothing

    Examples:
      | time                        |
      | before the answer           |
      | in pieces before the answer |
      | within the answer's packet  |
      | behind the answer           |
      | while nothing is under way  |
      | two requests later          |
      | before the connection ends  |

  Scenario: a copy before an answer that is a refusal too is no second refusal
    When an engine writes a refusal once more before it refuses the next request
    Then two refusals and one skipped response are counted, and the engine is not held back
