Feature: What callers meet at an entry

  Scenario: A caller gets its answer whole, plain and streamed
    Given entry: two endpoints that answer
    When entry: a chat, a streamed chat and a service call are sent
    Then entry: each answer is the endpoint's own
    And entry: every slot was given back

  Scenario: One team cannot see another's anything
    Given entry: two endpoints that answer
    When entry: another team asks for the first one's model, job and results
    Then entry: each is refused as unknown and not run
    And entry: each team lists only its own models and jobs
    And entry: a wrong, an overlong and a missing key are refused alike

  Scenario: Locate gives live entries, the caller's own failure domain first
    When entry: nodes of any states, domains and loads are ordered
    Then entry: only live entries are given and those of the domain come first

  Scenario: A leaving entry is named no more and counts what it still has to answer
    Given entry: two endpoints that answer
    When entry: it leaves while a request is under way
    Then entry: locate no longer names it and the request is counted until it is answered

  Scenario: A request over a team's limits is told when to come again
    When entry: requests of a team come at any rate
    Then entry: never more than the rate and the open limit allow are let in

  Scenario: A batch job is submitted, listed, read from an offset and cancelled
    Given entry: two endpoints that answer
    When entry: a batch job is submitted
    Then entry: its status, its results from an offset and its cancellation are answered
