Feature: requests go to the better of two random endpoints that can serve them

  @promise-7 @fault-leaving
  Scenario: only active endpoints that serve the request are tried
    When requests of any kind are routed over any endpoints
    Then only matching active endpoints are tried, and about half of them or more

  Scenario: requests are spread by load and failure domain
    When many requests are routed over loaded and idle endpoints
    Then the loaded endpoint gets the fewest and the own failure domain the most

  Scenario: every node computes the same homes, and few of them move
    When nodes join and leave in any way
    Then only the endpoints of a removed node get a new home

  Scenario: failing endpoints are ejected and return gradually
    When endpoints fail and answer in any order
    Then at least half stay in use and each ejected endpoint returns

  Scenario: prefix cache estimates decay and are bounded
    When prefixes are used and evicted in any order
    Then a late eviction does not undo a later use, estimates decay and memory is bounded
