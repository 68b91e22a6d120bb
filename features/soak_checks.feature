Feature: the checks of the soak detect violations

  Scenario Outline: a violated guarantee is reported
    When callers and endpoints see <violation>
    Then the soak reports it under "<guarantee>"

    Examples:
      | violation                                     | guarantee                   |
      | a response to another request                 | responses are complete      |
      | a response without a signature                | responses are complete      |
      | a stream that ran twice                       | what must not run twice     |
      | a refusal of a request that ran               | a refusal that says not run |
      | a refused first sending that ran              | a refusal that says not run |
      | a second sending refused that ran             | a refusal that says not run |
      | a second sending that ran twice               | what must not run twice     |
      | an id twice on a connection                   | no connection to an engine  |
      | a run that no client requested                | endpoints run only          |
      | a run of a sending that was not made          | endpoints run only          |
      | a run with another body                       | endpoints run only          |
      | a request on an outdated route                | routes in force             |
      | a job with an item missing                    | batch jobs                  |
      | an item at two positions                      | batch jobs                  |
      | an item with an event missing                 | batch jobs                  |
      | a refused job that ran                        | batch jobs                  |
      | a request cut at a planned stop               | a graceful shutdown         |
      | a process that ended by itself                | processes end               |
      | four runs with a part after five crashes      | a part that crashes         |
      | sound requests refused for a first part       | requests that share         |
      | a run after an answer that says leaving       | an endpoint that says       |
      | too many runs at a limited endpoint           | the limits of endpoints     |
      | another run of an item with that part         | a part that crashes         |
      | a job with an item missing                    | no item is left lying       |
      | an item that had no run for 6 s               | an item that no endpoint    |
      | an item not run again after it was cut        | an item that no endpoint    |
      | an item not run again after a failure         | an item that no endpoint    |
      | an item held 41 s after its part ended        | an item that no endpoint    |
      | a sound item held 41 s after a crash          | an item that no endpoint    |
      | an item that completed and is not listed      | an item that no endpoint    |
      | four runs of a request after three crashes    | a request that crashes      |
      | requests refused beside a deadly one          | sound requests beside one   |
      | a request refused for a deadly one's path     | sound requests beside one   |
      | a request refused for a deadly one's body     | sound requests beside one   |
      | a deadly request with another body            | endpoints run only          |
      | a sound item held 6 s after a request's crash | an item that no endpoint    |

  Scenario Outline: a violated guarantee to customers is reported
    When customers and endpoints see <violation>
    Then the soak reports it under "<guarantee>"

    Examples:
      | violation                             | guarantee                   |
      | a run 3 s after its key was removed   | a request without a key     |
      | a run with a key that is not known    | a request without a key     |
      | a run without a key                   | a request without a key     |
      | an endpoint told another customer     | endpoints are told          |
      | an endpoint told the former customer  | endpoints are told          |
      | an open route that drops the customer | endpoints are told          |
      | an endpoint sent a key                | endpoints are told          |
      | an item of another customer           | endpoints are told          |
      | a key in force refused                | a key in force is known     |
      | more runs than a limit allows         | the limits of customers     |
      | a refusal far below a limit           | a customer below its limit  |
      | a slow endpoint used like others      | an endpoint that is slow    |

  Scenario Outline: what customers and slow endpoints may see is not reported
    When customers and endpoints see <allowed>
    Then the soak reports nothing

    Examples:
      | allowed                                                  |
      | a run 1 s after its key was removed                      |
      | the former customer 1 s after a key moved                |
      | an unknown key on an open route                          |
      | a removed key refused                                    |
      | a change of routes while a request is under way          |
      | a refusal for the limit of the customer that got the key |
      | as many runs as a limit allows                           |
      | a refusal after half of what shares hold                 |
      | a slow endpoint used half as much as others              |

  Scenario: keys and limits hold in a play whose customers change keys and exceed their limits
    When a soak plays customers that change keys and exceed their limits
    Then the soak reports nothing

  Scenario: slow endpoints get fewer requests in a play whose engines report that they are slow
    When a soak plays engines that are slow and report it
    Then the soak reports nothing

  Scenario: a refused request that runs when its caller sends it again is not reported
    When a request is refused and runs after it was sent again under its id
    Then the soak reports nothing

  Scenario: copies of refusals are believed by no node in a play whose engines write them
    When a soak plays engines that write refusals again under the ids of requests under way
    Then the soak reports nothing

  Scenario: no violation is reported when all guarantees hold
    When nothing goes wrong for callers and endpoints
    Then the soak reports nothing

  Scenario: a request that the crash of its endpoint broke off during a planned stop is not reported
    When an endpoint crashes while it runs a request around a planned stop
    Then the soak reports nothing

  Scenario: a restart of the node excuses a request to an endpoint that leaves
    When a request follows an answer that says leaving and a start of its node
    Then the soak reports nothing

  Scenario Outline: an item that may wait is not reported
    When an item waits while <reason>
    Then the soak reports nothing

    Examples:
      | reason                                          |
      | its endpoints are half full                     |
      | its endpoints are away                          |
      | its node is disturbed                           |
      | its part is deadly                              |
      | its part was deadly 39 s ago                    |
      | its part was deadly 45 s ago with 7 s disturbed |
      | its run failed 19 s ago                         |

  Scenario: no item is left lying in a play whose engines are killed
    When a soak plays jobs while engines are killed and connections are reset
    Then the soak reports nothing

  Scenario: a run with a part that crashes endpoints no more is not reported
    When an item runs with a part that had its five crashes and three runs and has ended
    Then the soak reports nothing

  Scenario Outline: what is allowed of requests that crash endpoints, and beside them, is not reported
    When callers and endpoints see <allowed>
    Then the soak reports nothing

    Examples:
      | allowed                                        |
      | a later run at a node out of touch             |
      | a later run at a node that stops               |
      | a later run of a request that crashes no more  |
      | refusals while crashes have all endpoints away |
      | refusals at a node that stops                  |

  Scenario: the text of a lying item tells its state
    When callers and endpoints see an item that is held to the end
    Then the soak reports its owner, its last run, its part and the line that holds it

  Scenario: requests within the limit of an endpoint are not reported
    When an endpoint with a limit gets as many requests as it allows
    Then the soak reports nothing
