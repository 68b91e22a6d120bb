Feature: customers are known by their keys, and endpoints are told their names and never a key

  Scenario Outline: an endpoint is told the customer that holds the key, whatever else the caller sent
    When a request comes with the key of a customer <in a way>
    Then the endpoint is told the customer once and gets no key

    Examples:
      | in a way                             |
      | alone                                |
      | in a header of another spelling      |
      | twice                                |
      | with the name of another customer    |
      | with two names of customers          |
      | with both headers named as hop-by-hop |

  Scenario: another attempt at another endpoint names the customer and has no key
    When a stream of a customer is resumed at another endpoint
    Then both endpoints were told the customer and got no key

  Scenario Outline: a request without a key that is known is refused, and says what to send
    When a request to a route of customers comes with <keys>
    Then the answer is 401 and names the header, and no endpoint gets the request

    Examples:
      | keys                     |
      | no key                   |
      | an unknown key           |
      | an empty key             |
      | keys of two customers    |
      | two keys of one customer |
      | two keys in one header   |
      | a key of another case    |

  Scenario Outline: an anonymous route needs no key: <keys>
    When a request to an anonymous route comes with <keys>
    Then it is served and the endpoint is told <customer>

    Examples:
      | keys                  | customer |
      | no key                | none     |
      | an unknown key        | none     |
      | a known key           | ant      |
      | keys of two customers | none     |

  Scenario: a route that does not exist is not found before any key is looked at
    When a request without a key names a route that does not exist
    Then the request is answered with 404

  Scenario: a node without a configuration refuses as not run, and answers no 401
    When a request with a key comes to a node that knows no configuration
    Then the request is answered with 503

  Scenario: without customers in the configuration both headers pass as they were sent
    When both headers are sent and the configuration has no customers
    Then the endpoint gets both headers as sent

  Scenario: a key that was taken away no longer works on a kept connection
    When the key of a kept connection is taken away
    Then the next request there is refused with 401, and another key works on the same connection

  Scenario: a key that has moved names its new customer on a kept connection
    When the key of a kept connection is given to another customer
    Then the next request there names the new customer

  Scenario: a key that was added works on a kept connection
    When a key is added after a request that was refused for it
    Then the next request there is served

  Scenario: a key that was taken away does not come back with an older version
    When a version without a key is followed by an older one that has it
    Then the key is refused at every node

  Scenario: keys are checked by the newest version while the store does not answer
    When a key is taken away and the store stops answering
    Then the key is refused and the others work beyond the bound of revocation

  Scenario: a key that is taken away during an outage is refused at every node after it
    When a key is taken away while the store refuses all calls, and the store answers again
    Then every node refuses the key within the bound of revocation, which served it until then

  Scenario: under strict revocation a node that may have missed a removal refuses as not run
    When the store stops answering beyond the bound of strict revocation
    Then requests that need a key get 503, an unknown key 401, an anonymous route is served

  Scenario: under strict revocation a node serves again once the store has answered
    When the store answers again after the bound of strict revocation
    Then requests that need a key are served

  Scenario: under strict revocation a node serves on while the record does not change
    When the store has no changes for longer than the bound of strict revocation
    Then every request with a key is served

  Scenario: the time that the machine was suspended counts as age of what a node knows
    When a node is suspended after an answer of the store
    Then the age of the answer includes it until the store has answered again

  Scenario: no key is in any log record, metric, error or request to an endpoint
    When keys are used, refused, sent in invalid requests and taken away, with all logs kept
    Then no key is in any of them

  Scenario Outline: the bounds of revocation are read from the settings file: <bounds>
    When the settings file of a front process has <bounds>
    Then a key that may have been taken away is <treated>, with a bound of <seconds> s

    Examples:
      | bounds                                 | treated            | seconds |
      | no bounds                              | trusted            | 5.0     |
      | revokeMs = 1500                        | trusted            | 1.5     |
      | strictRevoke = true and revokeMs = 800 | refused as not run | 0.8     |

  Scenario: log lines and metrics name the customer of a request
    When requests of two customers are answered and refused
    Then the log lines and the metrics name them

  Scenario: metrics name a bounded number of customers
    When more customers than the bound send requests
    Then the metrics count the rest together

  Scenario Outline: a configuration with <fault> changes nothing
    When a configuration with <fault> is written
    Then the former one stays in force, and the reason says what is wrong and holds no key

    Examples:
      | fault                        |
      | a customer named twice       |
      | a key held by two            |
      | a negative rate              |
      | a negative burst             |
      | a rate that is not finite    |
      | a name of 10 KB              |
      | a name with a line break     |
      | an empty name                |
      | a key with line breaks       |
      | an empty key                 |
      | a key that is a number       |
      | a priority of one half       |
      | customers that are no list   |

  Scenario: whatever a configuration holds, it is read in full or refused without naming a key
    When configurations with any customers are read
    Then each is refused without naming a key, or finds each customer by exactly its keys

  Scenario: optional and unknown fields of a customer are read leniently
    When a customer has unknown fields, fields without a value and numbers of another type
    Then it is in force with what is known of it

  Scenario: the priority of a customer goes before that of its route
    When a customer with a priority and one without send requests
    Then the requests have the priority of the customer, else of the route

  Scenario Outline: a request of a limited customer that <outcome> <keeps> its permit
    When a limited customer sends a request that <outcome>
    Then it asked for one permit and <keeps> it

    Examples:
      | outcome                     | keeps      |
      | is served                   | keeps      |
      | fails at the endpoint       | keeps      |
      | finds no endpoint           | gives back |

  Scenario: a request that waited for its permit is not taken for one that returns
    When a limited customer's first request waits for its permit
    Then the endpoint is chosen for it as for a first request

  Scenario: a request beyond the limit of its customer is refused and not sent
    When a limited customer sends a request beyond its limit
    Then the answer is the refusal of the limit and no endpoint gets the request
