Feature: jobs outlive the route that took them

  # Calls about jobs were recognized by the routes of the newest configuration only.
  Scenario Outline: a finished job is read, ended and submitted again after <change>
    Given a job that is done, and whose results and route are known
    When the operator makes a change: <change>
    Then every node, also one that starts after it, returns its results and takes its end
    And every node confirms the job when it is submitted again

    Examples:
      | change                                        |
      | the batch route is removed                    |
      | the host is removed                           |
      | an online route takes the paths of the route  |
      | an online route takes all paths of the host   |

  Scenario: an unknown job is answered with 404, whatever routes there are, and without a call for each
    Given a job that is done, and whose results and route are known
    When many calls name jobs that do not exist, at hosts with, without and formerly with batch routes
    Then none of them is found, and the store gets few calls for them

  Scenario: items of a removed route run nowhere and are given up once their job is due
    Given a job whose items wait for an endpoint, due in 2 s
    When the operator makes a change: the batch route is removed
    And an endpoint registers
    Then no item runs, and all are listed as given up after the job is due

  Scenario: items run again if their route is restored before their job is due
    Given a job whose items wait for an endpoint, due in 8 s
    When the operator makes a change: the batch route is removed
    And an endpoint registers
    And the operator restores the route
    Then all items complete

  Scenario: items are not run by an online route that takes their paths
    Given a job whose items wait for an endpoint, due in 2 s
    When the operator makes a change: an online route takes the paths of the route
    And an endpoint registers
    Then no item runs, and all are listed as given up after the job is due
