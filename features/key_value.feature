Feature: Calls to the key-value service

  Scenario: The service over HTTP and in memory give the same outcomes
    When key-value: any sequence of operations runs over HTTP and in memory
    Then key-value: every outcome is the same

  Scenario: A failure that rules out an effect is right
    When key-value: writes meet outages, rate limits, silence and lost replies
    Then key-value: no write reported as not applied took effect

  Scenario: A checked swap finds out what a lost reply hid
    When key-value: checked swaps lose any replies while another writer races
    Then key-value: each is reported as it was

  Scenario: A watch has no gaps over outages and broken connections
    When key-value: keys change while the connection breaks and the service is out
    Then key-value: the watch has seen every change once and in order

  Scenario: A watch over a half-open connection goes on
    When key-value: the network loses what a watch is sent and later heals
    Then key-value: the watch sees every change after all

  Scenario: A watch that cannot go on without a gap says so
    When key-value: the history is compacted during an outage or the service goes back
    Then key-value: the watch reports that it is lost

  Scenario: A lapsed lease takes its keys along
    When key-value: a lease is left to lapse and another one renewed
    Then key-value: only the keys of the renewed one are left

  Scenario: No process makes more calls than its budget
    When key-value: calls are asked for at any times with any failures
    Then key-value: no second had more calls than burst and rate allow

  Scenario: Many processes come back slowly after an outage
    When key-value: the clients of 360 nodes call through an outage
    Then key-value: the calls after the outage stay under the ramp

  Scenario: A failing service is left alone
    When key-value: one client meets an outage of a minute
    Then key-value: it makes few calls and answers its callers at once
