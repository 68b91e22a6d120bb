Feature: requests go to endpoints that can serve them, the better of two choices first

  @promise-7 @fault-leaving
  Scenario: only endpoints that serve the request and stay are tried
    When requests of any kind are routed over any endpoints
    Then only fitting endpoints are tried, never a leaving one, and none is forgotten

  Scenario: endpoints are spread by load and failure domain
    When many requests are routed over loaded and idle endpoints
    Then the loaded endpoint gets the fewest and the own failure domain the most

  Scenario: homes are found alike everywhere and move little
    When any nodes come and go
    Then only the endpoints of a lost node get a new home

  Scenario: failing endpoints are ejected and return by degrees
    When endpoints fail and answer in any order
    Then never all are ejected and each one returns in the end

  Scenario: prefix guesses fade and stay bounded
    When prefixes are used and dropped in any order
    Then a late drop does not undo a later use, guesses fade and memory is bounded
