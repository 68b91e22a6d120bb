Feature: a request that crashes endpoints is recognized by its copies and sent no more

  Scenario: the line of a crash names the requests that it cut, and their copies alike
    When copies of a request without prompt parts crash endpoints one after the other
    Then each crash has a line with the request's id, and all of them have the same fingerprint

  Scenario: copies of a request without prompt parts stop reaching endpoints
    When copies of a request without prompt parts come at all nodes among sound ones
    Then at most three copies reach endpoints later than 3 s after its third crash
    And no sound request is refused because of crashes

  Scenario: copies of a request with prompt parts stop reaching endpoints
    When copies of a request come at all nodes among sound ones that share its prompt parts
    Then at most three copies reach endpoints later than 3 s after its third crash

  Scenario: sound requests that share the prompt parts of a request that crashes are not refused
    When copies of a request come at all nodes among sound ones that share its prompt parts
    Then no sound request is refused because of crashes

  Scenario: in plays of the load copies are kept away after few crashes, whatever else crashes
    When fleets of many sizes get copies of up to three deadly requests beside other crashes
    Then at most three copies of each are sent later than 3 s after its third crash
    And at most three requests with each deadly part are sent later than 3 s after its fifth crash
    And fewer than one in a hundred sound requests is refused in the second half of all plays
