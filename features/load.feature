Feature: parsley-load measures ways of sharing in open loop

  Scenario: arrivals do not depend on answers
    When arrivals are drawn for any seed and length
    Then equal seeds give equal arrivals, in order, more of them in bursts

  Scenario: a short experiment
    When parsley-load runs two arms of a small scenario
    Then the result tells latency from intended starts, batch rates and slot seconds
    And results can be compared and plotted

  Scenario: bad settings of an experiment
    When parsley-load is given a bad scenario, an unknown arm and a bad setting to sweep
    Then each is named with what is allowed and nothing is run
