@alone
Feature: a front process withstands strangers that send datagrams to the ports between nodes

  # A real process on loopback addresses, in a machine of 150 MB and 500 descriptors. The strangers
  # send from twenty addresses. What is checked does not depend on the speed of the machine.
  Scenario Outline: <what> at the port of load reports
    When strangers send <what> to the port of load reports
    Then the process lives and holds no more memory and sockets than its machine allows
    And an ordinary request to each port is answered beside the crowd

    Examples:
      | what                                               |
      | any bytes                                          |
      | reports of unknown nodes with very many short rows |
      | changes of one node that name ever new endpoints   |
      | reports with huge numbers and names                |
      | aggregates of unknown cells                        |
      | limits of unknown endpoints                        |
      | limits of unknown endpoints that began now         |
      | limits that are no numbers                         |
      | crashes of very many endpoints                     |
      | crashes with the same prompts                      |
      | crashes with the same long prompts                 |
      | answers to prompts with long names                 |
      | very many groups of parts                          |
      | few groups of parts at a time                      |
      | groups of parts with long names                    |
      | speeds of unknown endpoints                        |

  Scenario Outline: <what> at the port of permits
    When strangers send <what> to the port of permits
    Then the process lives and holds no more memory and sockets than its machine allows
    And an ordinary request to each port is answered beside the crowd

    Examples:
      | what                                               |
      | any bytes                                          |
      | asks of unknown customers                          |
      | asks of a known customer                           |
      | asks with long names                               |
      | asks in very many short rows                       |
      | answers that nobody asked for                      |
      | permits that nobody was granted                    |

  Scenario: datagrams of several kinds at both ports
    When strangers send datagrams of several kinds to both ports
    Then the process lives and holds no more memory and sockets than its machine allows
    And an ordinary request to each port is answered beside the crowd

  Scenario: what a node keeps of strangers has a limit
    When strangers send more different datagrams than a node keeps
    Then it keeps no more endpoints, limits and counts of them than the documentation says
    And it keeps the report of a node that the store names

  Scenario: evidence of crashes takes no more than its share of the time
    When reports of crashes that take 0.1 s each come without a pause for 10 s
    Then they take the burst of 1 s and a quarter of the time

  Scenario: crashes in quick succession share a decision that takes long
    When a crash comes every 10 ms for 5 s and a decision takes 0.1 s
    Then decisions take at most a quarter of the time
    And the last decision is later than the last crash by its delay
