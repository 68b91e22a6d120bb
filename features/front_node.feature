Feature: a front process as a node: found, ready, stopped, cut from the store

  Scenario: callers are told the addresses of nodes that take callers
    When callers ask two nodes for addresses, and one of them then leaves
    Then both are named at first, and only the one that stays afterwards

  Scenario: a node is ready once it knows the routes, and not while it leaves
    When a node is asked whether it is ready at each stage of its life
    Then it is ready only between the first routes and its stop

  Scenario: a planned stop cuts nothing
    When a node is stopped in the middle of a stream
    Then the stream ends whole, its connection closes, and the stop ends soon after

  Scenario: a lease that is lost is taken anew
    When the store takes all leased keys of a node away
    Then the node is registered again within two seconds

  Scenario: listings replace a history that is lost
    When an endpoint leaves while the store forgets its history
    Then the node sends it nothing after

  Scenario: a node that is cut from the store serves on with what it knows
    When the store refuses a node for a while and routes change meanwhile
    Then callers are served meanwhile, and the new routes are in force soon after

  Scenario: a store VM that is to be emptied is reported empty
    When the operator asks for a store VM to be emptied
    Then the report says that it is done

  Scenario Outline: requests that could be read in two ways are refused
    When a caller sends <form>
    Then nothing reaches an endpoint and the caller is refused or cut

    Examples:
      | form                          |
      | two different lengths         |
      | a space before the colon      |
      | a bare carriage return        |
      | a length that is no number    |
      | headers without end           |
      | a body beyond the limit       |

  Scenario: a request with chunks and a length reaches the endpoint with one length
    When a caller sends a request with chunks and a length
    Then the endpoint gets at most the chunks' bytes under their own length

  Scenario: a process takes SIGHUP and SIGTERM
    When a front process is started, sent SIGHUP and then SIGTERM
    Then it logs start, reload and stop, and ends with code 0 within its grace

  Scenario: a hang-up during the start does not end a process
    When a front process and an idle one get hang-ups from the first imports on
    Then both start and serve

  Scenario: a settings file that changes without a signal is taken
    When the settings file of a front process is changed and then broken
    Then it logs which settings have changed, and that the broken file is not taken

  Scenario: settings are checked without serving
    When the settings of a front process are checked
    Then the settings in force and their sources are printed, and those that are not used

  Scenario: a process names what is wrong with its settings file
    When a front process is started with broken settings
    Then it ends with code 2 and names what is wrong

  Scenario: the idle process of a store VM goes on over SIGHUP
    When the idle process is sent SIGHUP and then SIGTERM
    Then it ends at the second with code 0
