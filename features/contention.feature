Feature: what a customer sends beyond its part costs itself, not the others

  Scenario Outline: one hot customer costs the others at most 0.02 of their credit: <case>
    When the first customer sends 6.5 times its usual in a play of <case>
    Then the others keep their credit to within 0.02, the small ones too

    Examples:
      | case                                              |
      | equal customers with limits, usual load           |
      | equal customers with limits, high load            |
      | equal customers without limits, usual load        |
      | equal customers without limits, high load         |
      | a large customer with a limit, usual load         |
      | a large customer with a limit, high load          |
      | a large customer without a limit, usual load      |
      | a large customer without a limit, high load       |

  Scenario: without the part the same hot customer costs the others far more
    When the hot customer of the play with a large customer is not held to its part
    Then the others lose more than 0.2 of their credit

  Scenario: a customer within its usual part is treated as before at full endpoints
    When nobody sends more than usual in a play of high load
    Then everyone keeps the credit that it has without the part to within 0.01

  Scenario: when all customers send more, none of them is excess
    When all customers send three times their usual
    Then nearly all requests keep the full share of the wait

  Scenario: a node that has just started treats all customers alike
    When a customer sends ten times as much as another from the start of a node
    Then all requests have the full share of the wait

  Scenario: a small customer is not taken as hot by chance
    When small customers send requests at random for ten minutes
    Then nearly all requests keep the full share of the wait

  Scenario: only the part of a hot customer's requests that goes beyond its own is excess
    When a customer sends three times its usual for two seconds
    Then about a third of its requests have a share of a usual part, and excess that returns a small one

  Scenario: the less urgent of two priorities waits for a smaller share, down to a bound
    When shares are chosen for priorities from the most urgent one down
    Then they fall with each step to the bound, and those that return are all let wait

  Scenario: rates are kept of a bounded number of customers
    When more customers than the bound of rates send requests
    Then the rates of the latest of them are kept

  Scenario: without customers admission is as before
    When any waits, targets and times are decided on without a share
    Then the decision is that of the rule before there were shares

  Scenario Outline: a front process gives a share of the wait only where there are customers: <who>
    When a request <who> reaches a front process
    Then it is placed <how>

    Examples:
      | who                          | how             |
      | of a customer                | with a share    |
      | on an anonymous route        | with a share    |
      | without any customers        | without a share |

  Scenario: items of several customers are started in turn
    When any waiting items of customers are ordered
    Then each occurs once, late ones last, customers in turn and by rank within each

  Scenario: many jobs of one customer do not delay the few items of another
    When a customer submits many items and then another a few
    Then the few items are done before half of the many are

  Scenario: a customer with jobs at many nodes has no turn at each of them
    When one customer has jobs at nine nodes and another at one of them
    Then the other's node takes half of the turns

  Scenario: a slot is not left free for customers whose open jobs have no waiting items
    When ninety-nine other customers have open jobs and this node alone has waiting items
    Then it takes at least every fourth turn

  Scenario: nodes of customers are counted by the open jobs that they own
    When jobs of customers open, change owners and end in any order
    Then the counts are those of the open jobs with an owner
