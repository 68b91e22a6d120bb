Feature: The callers' API of an entry

  Scenario: A caller gets complete responses, plain and streamed
    Given entry: two healthy endpoints
    When entry: a chat, a streamed chat and a service call are sent
    Then entry: each response is complete and from the endpoint
    And entry: every slot was released

  Scenario: A team cannot see another team's models and jobs
    Given entry: two healthy endpoints
    When entry: another team requests the first one's model, job and results
    Then entry: each is refused as not found and not run
    And entry: each team lists only its own models and jobs
    And entry: a wrong, an overlong and a missing key are refused alike

  Scenario: Locate returns live entries, the caller's own failure domain first
    When entry: nodes of any states, domains and loads are ordered
    Then entry: only live entries are returned and those of the domain come first

  Scenario: Locate omits a leaving entry, which still counts its open requests
    Given entry: two healthy endpoints
    When entry: it leaves while a request is in progress
    Then entry: locate no longer returns it and the request is counted until it is answered

  Scenario: A request over a team's limits is told when to retry
    When entry: requests of a team arrive at any rate
    Then entry: no more are admitted than the rate and the open limit allow

  Scenario: A batch job is submitted, listed, read from an offset and cancelled
    Given entry: two healthy endpoints
    When entry: a batch job is submitted
    Then entry: its status, its results from an offset and its cancellation are returned
