Feature: Calls to the key-value service

  Scenario: The service over HTTP and the one in memory give the same outcomes
    When key-value: any sequence of operations runs over HTTP and in memory
    Then key-value: every outcome is the same

  Scenario: A write reported as not applied never took effect
    When key-value: writes meet outages, rate limits, missing replies and lost replies
    Then key-value: no write reported as not applied took effect

  Scenario: A compare-and-swap with retry finds out the outcome behind a lost reply
    When key-value: compare-and-swaps with retry lose any replies while another writer races
    Then key-value: each is reported with its actual outcome

  Scenario: A watch has no gaps across outages and broken connections
    When key-value: keys change while the connection breaks and the service is down
    Then key-value: the watch has seen every change once and in order

  Scenario: A watch recovers from a half-open connection
    When key-value: the network drops what is sent to a watch and later recovers
    Then key-value: the watch still sees every change

  Scenario: A watch that cannot continue without a gap reports it
    When key-value: the history is compacted during an outage or the service loses revisions
    Then key-value: the watch reports that it is lost

  Scenario: An expired lease deletes its keys
    When key-value: one lease expires and another one is renewed
    Then key-value: only the keys of the renewed lease are left

  Scenario: No process makes more calls than its budget
    When key-value: calls are asked for at any times with any failures
    Then key-value: no second had more calls than burst and rate allow

  Scenario: Many processes ramp up slowly after an outage
    When key-value: the clients of 360 nodes call through an outage
    Then key-value: the calls after the outage stay under the ramp

  Scenario: Clients back off from a failing service
    When key-value: one client meets an outage of a minute
    Then key-value: it makes few calls and answers its callers at once
