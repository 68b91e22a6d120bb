Feature: a failed request is explained from its id and the logs alone

  Scenario: a refusal
    When all endpoints shed a request and its id is explained
    Then the story names the refusals of the endpoints and the time to come back

  Scenario: a stream broken midway
    When an endpoint breaks a stream off and its id is explained
    Then the story names the endpoint and how its connection ended

  Scenario: a batch item that is given up
    When an endpoint says that an item can never be done and its id is explained
    Then the story tells the run, the endpoint and the position where it is listed

  Scenario: a request of which no line tells
    When an unknown id is explained
    Then parsleyctl says that no line is about it
