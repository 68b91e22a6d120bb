Feature: malformed messages to a front process end only themselves

  Scenario Outline: a front process serves on after malformed messages to <listener>
    When malformed messages of many kinds are sent to <listener>
    Then the process answers callers, locate calls, peers and load reports as before

    Examples:
      | listener             |
      | the callers' address |
      | the readiness check  |
      | the locate address   |
      | the peer calls       |
      | the load reports     |

  Scenario: entries of the store that cannot be read change nothing
    When the store holds entries that cannot be read under every prefix that is watched
    Then the process answers callers, locate calls, peers and load reports as before

  Scenario: a request that was just accepted is answered although the process stops
    When callers keep sending requests on open connections while their process stops
    Then every request that the process read is answered

  Scenario Outline: a request that is read while its idle connection is being closed does not begin
    When the bytes of a request are queued as its connection is chosen for closing <why>
    Then the request does not begin

    Examples:
      | why                |
      | in a stop          |
      | after its idle time |
