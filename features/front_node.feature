Feature: a front process as a node: discovery, readiness, graceful shutdown, loss of the store

  Scenario: callers get the addresses of nodes that accept callers
    When callers ask two nodes for addresses, and one of them then leaves
    Then both are returned at first, and afterwards only the one that stays

  Scenario: a node is ready once it knows the routes, until it leaves
    When a node's readiness is queried at each stage of its life cycle
    Then it is ready only from its first routes until its shutdown

  Scenario: a graceful shutdown interrupts nothing
    When a node is stopped in the middle of a stream
    Then the stream completes, its connection closes, and the shutdown ends soon after

  Scenario: a lost lease is replaced by a new one
    When the store expires the lease of a node and deletes its keys
    Then the node is registered again within two seconds

  Scenario: a full listing replaces a compacted history
    When an endpoint leaves while the store compacts its history
    Then the node sends it no more requests

  Scenario: a node that cannot reach the store continues with its last known state
    When the store refuses all calls of a node for a while and the routes change meanwhile
    Then callers are served meanwhile, and the new routes are active soon afterwards

  Scenario: a store VM to be drained is reported empty
    When the operator requests that a store VM be drained
    Then the report says that it is completed

  Scenario Outline: ambiguous requests are refused
    When a caller sends <form>
    Then nothing reaches an endpoint and the caller gets a refusal or is disconnected

    Examples:
      | form                          |
      | two different lengths         |
      | a space before the colon      |
      | a bare carriage return        |
      | a length that is no number    |
      | headers without end           |
      | a body beyond the limit       |

  Scenario: a request with chunked encoding and a length reaches the endpoint with one length
    When a caller sends a request with both chunked encoding and a length
    Then the endpoint gets at most the chunks' bytes, with their actual length

  Scenario: a process handles SIGHUP and SIGTERM
    When a front process is started, sent SIGHUP and then SIGTERM
    Then it logs start, reload and shutdown, and exits with code 0 within its grace time

  Scenario: SIGHUP during the start does not end a process
    When a front process and an idle one receive SIGHUP from their first imports on
    Then both start and keep running

  Scenario: a settings file that changes is reloaded without a signal
    When the settings file of a front process is changed and then made invalid
    Then it logs which settings have changed, and that the invalid file is rejected

  Scenario: settings are checked without serving
    When the settings of a front process are checked
    Then the active settings and their sources are printed, and unused ones too

  Scenario: a process reports what is wrong with its settings file
    When a front process is started with invalid settings
    Then it exits with code 2 and names what is wrong

  Scenario: the idle process of a store VM continues after SIGHUP
    When the idle process is sent SIGHUP and then SIGTERM
    Then it exits at SIGTERM with code 0
