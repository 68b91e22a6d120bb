Feature: the limit on a customer's requests holds over all nodes

  Scenario: callers at one node get nearly all that their customer may send
    When a limited customer sends three times its limit to one of four nodes
    Then nine tenths of the limit run and no window holds more than is allowed

  Scenario: callers at all nodes get no more than their customer may send
    When a limited customer sends three times its limit to all of four nodes
    Then nine tenths of the limit run and no window holds more than is allowed
