Feature: the home scheduler of an endpoint decides who uses its slots

  @promise-3 @fault-load
  Scenario: any course of asks, releases, renewals, withdrawals, corrections and time
    When a slot table is driven through any course of events under each sharing policy
    Then every grant and every refusal kept its promise

  Scenario: online asks in the order of weight and deadline
    When online attempts of any weights and deadlines wait for one slot
    Then they get it by the time left over their weight

  Scenario: teams share batch slots by weight
    When teams of any weights keep asking for batch slots
    Then no team is ahead of another by more than one item over its weight

  Scenario: jobs of one team are served by least slack
    When batch attempts of one team with any slack wait for one slot
    Then the least slack goes first

  Scenario: what cannot meet its deadline is refused at once
    When a slot table has learnt how long requests take
    Then an ask is refused at once exactly when its tokens cannot be served in time

  Scenario: bursts set the headroom, which fades
    When a slot table has seen a burst of online asks
    Then batch leaves slots free for the next burst and gets them back later

  Scenario: a new home learns what the old one gave
    Given a scheduler fleet with two nodes and 1 endpoint of 4 slots
    When its home is lost while grants live
    Then the new home counts the live grants and gives no more than the slots

  @promise-7 @fault-leaving
  Scenario: an endpoint that is leaving gets nothing new
    Given a scheduler fleet with two nodes and 2 endpoints of 4 slots
    When one endpoint is set to leaving while requests wait for it
    Then every request that follows goes to the other endpoint

  Scenario: load reports show slots used by others
    When engines report more running requests than the home has granted for a while
    Then the home counts the difference as used, and forgets it when the reports do
