Feature: parsley-load compares sharing policies under open-loop load

  Scenario: arrivals do not depend on responses
    When arrivals are generated for any seed and length
    Then equal seeds give equal arrivals in order of time, with a higher rate in bursts

  Scenario: a short experiment
    When parsley-load runs two arms of a small scenario
    Then the result contains latencies from intended starts, batch rates and slot seconds
    And results can be compared and plotted

  Scenario: invalid settings of an experiment
    When parsley-load is given a bad scenario, an unknown arm and invalid settings
    Then each error names the bad or the allowed values and nothing is run
