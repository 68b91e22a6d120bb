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

  Scenario: every check has a scenario
    Then each registered check is named in this feature

  Scenario: differences from the version in force are shown with what callers notice
    When a configuration is checked against another one
    Then added, removed and changed entries are shown with their effect

  Scenario: no output holds a key
    When configurations with keys in every wrong place are checked against each other
    Then no output holds a key

  Scenario: the check and a node agree
    Then for all configurations, what the check finds is what a node does

  Scenario: the example of the documentation shows what the documentation says
    When the example configuration is checked by the command
    Then the output and the exit status are those of the documentation
