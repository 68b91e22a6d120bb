Feature: Parts whose live owner does not run them

  @promise-1 @fault-restart @fault-lost-reply
  Scenario: An owner that does not run its part loses it to the part's home
    Given a part whose record names a live owner
    When the owner is asked and does not run the part
    Then the home node of the part claims it

  Scenario: An owner that runs its part keeps it
    Given a part whose record names a live owner
    When the owner is asked and runs the part
    Then the home node of the part does not claim it

  Scenario: An answer about an older record changes nothing
    Given a part whose record names a live owner
    When the record changes while the owner is asked
    Then the home node of the part does not claim it

  @promise-1 @fault-restart
  Scenario: A process that has just started takes no part from an owner it does not know yet
    Given a part whose record names a live owner
    When a process that has just started and knows no other node looks at it
    Then the home node of the part does not claim it
    When it has had time to learn of all nodes
    Then the home node of the part claims it
