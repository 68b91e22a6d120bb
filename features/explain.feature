Feature: a failed request is explained from its id and the logs alone

  Scenario: a refusal
    When all endpoints shed a request and its id is explained
    Then the explanation contains the refusals of the endpoints and the time to retry

  Scenario: a truncated stream
    When an endpoint truncates a stream and its id is explained
    Then the explanation contains the endpoint and how its connection ended

  Scenario: a batch item that cannot be processed
    When an endpoint reports an item as impossible and its id is explained
    Then the explanation contains the run, the endpoint and the position in the results

  Scenario: a request without log lines
    When an unknown id is explained
    Then parsleyctl reports that no line is about it

  Scenario: lines that were written within a millisecond keep their order
    When an item is explained whose hold ended within the millisecond of its quarantine's end
    Then the end of the quarantine comes first, as it was written
