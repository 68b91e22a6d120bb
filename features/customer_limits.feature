Feature: the limit on a customer's requests holds over all nodes

  Scenario: callers at one node get nearly all that their customer may send
    When a limited customer sends three times its limit to one of four nodes
    Then nine tenths of the limit run and no window holds more than is allowed

  Scenario: callers at all nodes get no more than their customer may send
    When a limited customer sends three times its limit to all of four nodes
    Then nine tenths of the limit run and no window holds more than is allowed

  Scenario Outline: <what> while a customer asks for more than its limit
    When <what> while a limited customer sends three times its limit
    Then <share> of the limit run meanwhile and no window holds more than is allowed

    Examples:
      | what                                        | share |
      | a holder is killed                          | 0.6   |
      | a holder is not heard by the others         | 0.6   |
      | the store is down for nine seconds          | 0.9   |
      | the store turns a third of the nodes away   | 0.9   |
      | all nodes are killed and restart            | 0.5   |
      | a node joins                                | 0.9   |
      | a holder stops as planned                   | 0.8   |

  Scenario: the shares of a killed node are used again
    When a node that holds shares is killed and does not return
    Then the others grant from its shares within half a minute, none of them twice

  Scenario: a limit that is lowered holds one window later
    When a limit is lowered while its customer sends seven times as much
    Then windows after that hold no more than the lowered limit allows

  Scenario: nothing is written while nothing happens
    When customers with limits send within them for some seconds
    Then no share is written, and none without a customer that has a limit

  Scenario: a refused caller finds room at the time that it was told
    When callers over the limit return when they were told
    Then nearly all that were told a time within their patience get a permit then

  Scenario: asks for permits use the second of the ports between nodes
    When settings with one port between nodes and with several are read
    Then only the latter have an address for asks, on the second port
