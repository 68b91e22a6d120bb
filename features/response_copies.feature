Feature: whatever an endpoint writes twice, what is believed is the answer to that sending

  Scenario: copies of responses, in any order and in pieces, are never believed
    When requests, some under an id that comes again, meet copies of all kinds at any time
    Then each response that was believed was that to its sending, and many were
