Feature: the requests of all nodes stay within the limits that endpoints name

  Scenario Outline: <nodes> nodes keep a limit of <per_s> a second together, and use it
    When <nodes> nodes get more requests than an endpoint with a limit of <per_s> a second takes
    Then it gets no more than the limit allows in any four seconds
    And it gets nearly all that it takes

    Examples:
      | nodes | per_s |
      | 1     | 2.6   |
      | 2     | 0.3   |
      | 7     | 0.5   |
      | 7     | 2.6   |
      | 7     | 20.0  |
      | 20    | 0.5   |
      | 20    | 2.6   |
      | 20    | 20.0  |

  Scenario Outline: a limit holds while <event>
    When <event> during a limit
    Then it gets no more than the limit allows in any four seconds

    Examples:
      | event                                  |
      | nodes join                             |
      | nodes restart in turn                  |
      | all nodes restart at once              |
      | half of the nodes hear only each other |
      | one node hears no other                |
      | a third of the reports are lost        |
      | the limit falls                        |
      | a burst follows a pause                |
      | many requests come at once             |

  Scenario: many requests come at once at twenty nodes
    When many requests come at once at 20 nodes with a limit of 0.5 a second
    Then it gets no more than the limit allows in any four seconds

  Scenario: a request to a limited endpoint is reported before others are collected
    When a node sends a request to an endpoint without a limit and one to an endpoint with a limit
    Then the report of the second is due at once, before the one that was scheduled for the first

  Scenario: nodes on standby send nothing to an endpoint with a limit
    When a node learns of a limit on standby, and another one is on standby with permits left
    Then neither sends any request to the endpoint, and both send again when they are active

  Scenario: a limit outlives the registration of its endpoint
    When the registration of an endpoint with a limit is gone and comes back without a restart
    Then the limit is still in force, and it is not after a restart

  Scenario: a limit that ends is forgotten by all nodes
    When a limit ends while requests arrive
    Then all nodes send without a limit within two seconds
    And they stop telling each other of it

  Scenario Outline: the requests of all kinds stay within the limits of <count> engines of two
    Given nodes that serve two engines, of which <count> name a limit
    When callers stream at all nodes beyond the limits, streams break off and a job runs
    Then each limited engine gets no more than its limit allows in any four seconds
    And every caller is served or told at once that the request has not run

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario: refused callers are told different times at which permits accrue
    When callers are refused one after the other for a limit
    Then each is told a time of its own, as far apart as permits accrue
