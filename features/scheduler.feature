Feature: the home scheduler of an endpoint decides who uses its slots

  @promise-3 @fault-load
  Scenario: any sequence of requests, releases, renewals, withdrawals, corrections and time
    When a slot table processes any sequence of events under each sharing policy
    Then its invariants hold after every event

  Scenario: online attempts are served by weight and deadline
    When online attempts of any weights and deadlines wait for one slot
    Then they get it in order of the time left divided by their weight

  Scenario: teams share batch slots by weight
    When teams of any weights keep requesting batch slots
    Then no team is ahead of another by more than one item divided by its weight

  Scenario: jobs of one team are served by least slack
    When batch attempts of one team with any slack wait for one slot
    Then the attempt with the least slack is served first

  Scenario: an attempt that cannot meet its deadline is refused immediately
    When a slot table has measured how long requests take
    Then an attempt is refused immediately if and only if its tokens cannot be served in time

  Scenario: bursts determine the headroom, which decays
    When a slot table has seen a burst of online attempts
    Then batch leaves slots free for the next burst and gets them back later

  Scenario: a new home adopts the grants of the previous one
    Given a scheduler fleet with two nodes and 1 endpoint of 4 slots
    When its home node fails while grants are in use
    Then the new home counts the live grants and grants no more than the slots

  @promise-7 @fault-leaving
  Scenario: a leaving endpoint gets no new requests
    Given a scheduler fleet with two nodes and 2 endpoints of 4 slots
    When one endpoint is set to leaving while requests wait for it
    Then every waiting request gets a slot on the other endpoint

  Scenario: load reports show slots used by others
    When engines report for a while more running requests than the home has granted
    Then the home counts the difference as used until reports no longer show it
