Feature: a request that crashes endpoints is recognized by its copies and sent no more

  Scenario: the line of a crash names the requests that it cut, and their copies alike
    When copies of a request without prompt parts crash endpoints one after the other
    Then each crash has a line with the request's id, and all of them have the same fingerprint
