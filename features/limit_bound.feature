Feature: permits stay within the bound in any schedule

  Scenario: the bound holds in any sequence of claims, restarts, cuts, suspensions and new limits
    When processes claim, restart, lag, are cut off and suspended while callers take all they get
    Then no window holds more permits than the bound

  Scenario Outline: a loop of <what> gives no more permits than the bound
    When callers take all they get during a loop of <what>
    Then no share gave more permits in a window than the bound

    Examples:
      | what                       |
      | restarts                   |
      | limits taken away and back |
      | permits given back late    |

  Scenario: what a customer may send is let through wherever its callers connect
    When callers of any customer ask for more than its limit at one or more nodes
    Then nine tenths of what the limit allows is let through and never more than the bound
