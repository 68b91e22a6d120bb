Feature: a configuration is checked before it is sent

  Scenario: a sound configuration has no findings
    When a sound configuration is checked
    Then nothing is found and the exit status is 0

  Scenario Outline: <check> finds <what>
    When a configuration with <what> is checked
    Then the check <check> finds it as a <severity> that names the place and a remedy

    Examples:
      | check                         | severity | what                             |
      | readable                      | error    | text that is no JSON             |
      | readable                      | error    | a number where a name belongs    |
      | readable                      | error    | a key held by two customers      |
      | readable                      | error    | two customers with one name      |
      | readable                      | error    | a list instead of the record     |
      | as_written                    | warning  | a misspelt name                  |
      | as_written                    | error    | an unknown kind                  |
      | as_written                    | error    | no attempt                       |
      | route_names_repeated          | error    | two routes with one name         |
      | service_names_repeated        | error    | two services with one name       |
      | services_unknown              | error    | a service that is not there      |
      | prefixes_malformed            | error    | a prefix without its last slash  |
      | shares_impossible             | error    | shares that are all 0            |
      | shares_of_zero                | warning  | a share of 0                     |
      | routes_unreachable            | warning  | a prefix twice                   |
      | customers_without_keys        | warning  | a customer without keys          |
      | services_unused               | warning  | a service that no route names    |
      | options_without_effect        | warning  | a plain route that is resumable  |
      | times_out_of_range            | error    | a timeout of 0                   |
      | priorities_out_of_range       | error    | a priority below 0               |
      | caller_limits_out_of_range    | error    | headers of no bytes              |
      | connections_out_of_range      | error    | endpoints without connections    |
      | objectives_above_timeout      | warning  | an objective above the timeout   |
      | bursts_below_one              | warning  | a burst of half a request        |
      | bursts_without_rate           | warning  | a burst without a rate           |
      | jobs_abandoned_early          | warning  | a retention below the target     |
      | waiting_tokens_below_one_item | warning  | few waiting tokens               |

  Scenario Outline: <check> finds <what> where the number of endpoints is known
    When a configuration with <what> is checked for 2 endpoints of each service
    Then the check <check> finds it as a warning that names the place and a remedy
    And without the number of endpoints it finds nothing

    Examples:
      | check                           | what                              |
      | customer_limits_above_endpoints | limits above what endpoints take  |
      | jobs_longer_than_target         | jobs that can't end in their time |

  Scenario: a number of endpoints that is no number is refused
    When a configuration is checked for some endpoints
    Then the command is refused as wrong usage

  Scenario: every check has a scenario
    Then each registered check is named in this feature

  Scenario: differences from the version in force are shown with what callers notice
    When a configuration is checked against another one
    Then added, removed and changed entries are shown with their effect

  Scenario: differences from the version in the store are shown
    Given a store that holds a configuration
    When another configuration is checked against the store
    Then the differences are those from the file with the same configuration

  Scenario Outline: a comparison with <what> is refused
    When a configuration is checked against <what>
    Then the command ends with <status>

    Examples:
      | what                          | status |
      | a store that holds none       | 5      |
      | a store that does not answer  | 6      |
      | a store and a file            | 2      |
      | an address that is none       | 2      |

  Scenario: a table is shown on a terminal
    When the example configuration is checked on a terminal
    Then the findings are in a table

  Scenario: no output holds a key
    When configurations with keys in every wrong place are checked against each other
    Then no output holds a key

  Scenario: the check and a node agree
    Then for all configurations, what the check finds is what a node does

  Scenario: the example of the documentation shows what the documentation says
    When the example configuration is checked by the command
    Then the output and the exit status are those of the documentation

  Scenario: the comparison in the documentation shows what the documentation says
    When the next example configuration is compared by the command
    Then the output is that of the page for operators, with status 1
