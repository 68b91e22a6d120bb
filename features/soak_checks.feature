Feature: the checks of the soak detect violations

  Scenario Outline: a violated guarantee is reported
    When callers and endpoints see <violation>
    Then the soak reports it under "<guarantee>"

    Examples:
      | violation                                | guarantee                   |
      | a response to another request            | responses are complete      |
      | a response without a signature           | responses are complete      |
      | a stream that ran twice                  | what must not run twice     |
      | a refusal of a request that ran          | a refusal that says not run |
      | a run that no client requested           | endpoints run only          |
      | a run with another body                  | endpoints run only          |
      | a request on an outdated route           | routes in force             |
      | a job with an item missing               | batch jobs                  |
      | an item at two positions                 | batch jobs                  |
      | an item with an event missing            | batch jobs                  |
      | a refused job that ran                   | batch jobs                  |
      | a request cut at a planned stop          | a graceful shutdown         |
      | a process that ended by itself           | processes end               |
      | four runs with a part after five crashes | a part that crashes         |
      | sound requests refused for a first part  | requests that share         |
      | a run after an answer that says leaving  | an endpoint that says       |
      | too many runs at a limited endpoint      | the limits of endpoints     |

  Scenario: no violation is reported when all guarantees hold
    When nothing goes wrong for callers and endpoints
    Then the soak reports nothing

  Scenario: a request that the crash of its endpoint broke off during a planned stop is not reported
    When an endpoint crashes while it runs a request around a planned stop
    Then the soak reports nothing

  Scenario: a restart of the node excuses a request to an endpoint that leaves
    When a request follows an answer that says leaving and a start of its node
    Then the soak reports nothing

  Scenario: requests within the limit of an endpoint are not reported
    When an endpoint with a limit gets as many requests as it allows
    Then the soak reports nothing
