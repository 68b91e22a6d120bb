@alone
Feature: a front process withstands clients that do not keep to the limits

  # A real process on loopback addresses, in a machine of 150 MB and 500 descriptors. What is
  # checked does not depend on the speed of the machine: no times, and no shares of what is served.
  Scenario Outline: <what> at <where>
    When a crowd sends <what> to <where>
    Then the process lives and holds no more memory and sockets than its machine allows
    And an ordinary request to each port is answered beside the crowd

    Examples:
      | what                                         | where                   |
      | bodies in one piece that stop short          | a route                 |
      | bodies in one piece that stop short          | a path without a route  |
      | bodies in one piece that stop short          | the jobs                |
      | bodies in one piece that stop short          | the reads of jobs       |
      | bodies in one piece that stop short          | locate                  |
      | bodies in one piece that stop short          | the readiness check     |
      | bodies in one piece that stop short          | metrics                 |
      | bodies in small pieces that stop short       | a route                 |
      | bodies in small pieces that stop short       | a path without a route  |
      | bodies in small pieces that stop short       | the jobs                |
      | bodies in small pieces that stop short       | the reads of jobs       |
      | bodies in small pieces that stop short       | locate                  |
      | bodies in small pieces that stop short       | the readiness check     |
      | bodies in small pieces that stop short       | metrics                 |
      | bodies in chunks that stop short             | a route                 |
      | bodies in chunks that stop short             | a path without a route  |
      | bodies in chunks that stop short             | the jobs                |
      | bodies in chunks that stop short             | the reads of jobs       |
      | bodies in chunks that stop short             | locate                  |
      | bodies in chunks that stop short             | the readiness check     |
      | bodies in chunks that stop short             | metrics                 |
      | bodies far over the limit                    | a route                 |
      | bodies far over the limit                    | a path without a route  |
      | bodies far over the limit                    | the jobs                |
      | bodies far over the limit                    | the reads of jobs       |
      | bodies far over the limit                    | locate                  |
      | bodies far over the limit                    | the readiness check     |
      | bodies far over the limit                    | metrics                 |
      | chunks far over the limit                    | a route                 |
      | chunks far over the limit                    | a path without a route  |
      | chunks far over the limit                    | the jobs                |
      | chunks far over the limit                    | the reads of jobs       |
      | chunks far over the limit                    | locate                  |
      | chunks far over the limit                    | the readiness check     |
      | chunks far over the limit                    | metrics                 |
      | heads of many fields that stop short         | a route                 |
      | heads of many fields that stop short         | locate                  |
      | heads of many fields that stop short         | the readiness check     |
      | heads of many fields that stop short         | metrics                 |
      | heads of very many short fields              | a route                 |
      | heads of very many short fields              | locate                  |
      | heads of very many short fields              | the readiness check     |
      | heads of very many short fields              | metrics                 |
      | requests ahead without reading               | a route                 |
      | requests ahead without reading               | a path without a route  |
      | requests ahead without reading               | the jobs                |
      | requests ahead without reading               | the reads of jobs       |
      | requests ahead without reading               | locate                  |
      | requests ahead without reading               | the readiness check     |
      | requests ahead without reading               | metrics                 |
      | heads sent slowly                            | a route                 |
      | heads sent slowly                            | locate                  |
      | heads sent slowly                            | the readiness check     |
      | heads sent slowly                            | metrics                 |
      | nothing                                      | a route                 |
      | nothing                                      | locate                  |
      | nothing                                      | the readiness check     |
      | nothing                                      | metrics                 |
      | half a head                                  | a route                 |
      | half a head                                  | locate                  |
      | half a head                                  | the readiness check     |
      | half a head                                  | metrics                 |
      | requests whose answers are read slowly       | large answers           |
      | requests whose answers are read slowly       | locate                  |
      | requests whose answers are read slowly       | metrics                 |
      | requests whose answers are read slowly       | large results of a job  |
      | requests ahead without reading               | large answers           |
      | requests ahead without reading               | large results of a job  |
      | whole bodies of legal size                   | a route                 |
      | whole bodies of legal size                   | slow answers            |
      | jobs whose items have very many short fields | the jobs                |
      | jobs of as many short fields as are legal    | the jobs                |
      | jobs of the largest legal size               | the jobs                |
      | jobs of very many items                      | the jobs                |
      | jobs of one item with very many short fields | the jobs                |
      | frames that stop short                       | the nodes' own port     |
      | frames in small pieces that stop short       | the nodes' own port     |
      | frames far over the limit                    | the nodes' own port     |
      | large calls that wait                        | the nodes' own port     |
      | calls ahead without reading                  | the nodes' own port     |
      | nothing                                      | the nodes' own port     |
      | half a frame                                 | the nodes' own port     |
      | heads of many fields that stop short         | a path without a route  |
      | heads of many fields that stop short         | the jobs                |
      | heads of many fields that stop short         | the reads of jobs       |
      | heads of very many short fields              | a path without a route  |
      | heads of very many short fields              | the jobs                |
      | heads of very many short fields              | the reads of jobs       |
      | heads sent slowly                            | a path without a route  |
      | heads sent slowly                            | the jobs                |
      | heads sent slowly                            | the reads of jobs       |
      | half a head                                  | a path without a route  |
      | half a head                                  | the jobs                |
      | half a head                                  | the reads of jobs       |
      | requests whose answers are read slowly       | a path without a route  |
      | requests whose answers are read slowly       | the reads of jobs       |
      | requests whose answers are read slowly       | the readiness check     |
      | whole bodies of legal size                   | a path without a route  |
      | whole bodies of legal size                   | the jobs                |
      | whole bodies of legal size                   | the reads of jobs       |
      | whole bodies of legal size                   | locate                  |
      | whole bodies of legal size                   | the readiness check     |
      | whole bodies of legal size                   | metrics                 |
      | bodies sent slowly                           | a route                 |
      | bodies sent slowly                           | a path without a route  |
      | bodies sent slowly                           | the jobs                |
      | bodies sent slowly                           | the reads of jobs       |
      | bodies sent slowly                           | locate                  |
      | bodies sent slowly                           | the readiness check     |
      | bodies sent slowly                           | metrics                 |
      | frames sent slowly                           | the nodes' own port     |

  # Clients share what a port holds by address, so a crowd from many addresses has many shares.
  Scenario Outline: <what> at <where> from many addresses
    When a crowd from many addresses sends <what> to <where>
    Then the process lives and holds no more memory and sockets than its machine allows
    And an ordinary request to each port is answered beside the crowd

    Examples:
      | what                                         | where                   |
      | bodies in one piece that stop short          | a route                 |
      | bodies in one piece that stop short          | locate                  |
      | bodies in one piece that stop short          | the jobs                |
      | whole bodies of legal size                   | slow answers            |
      | heads of many fields that stop short         | a route                 |
      | heads of many fields that stop short         | metrics                 |
      | requests ahead without reading               | large answers           |
      | requests ahead without reading               | locate                  |
      | nothing                                      | a route                 |
      | nothing                                      | the readiness check     |
      | frames that stop short                       | the nodes' own port     |
      | nothing                                      | the nodes' own port     |

  Scenario Outline: <what> at every port at once
    When crowds at every port send <what>
    Then the process lives and holds no more memory and sockets than its machine allows
    And an ordinary request to each port is answered beside the crowd

    Examples:
      | what                                 |
      | bodies in one piece that stop short  |
      | heads of many fields that stop short |
      | requests ahead without reading       |
      | nothing                              |

  Scenario: crowds of many kinds at all ports at once
    When crowds of many kinds send to all ports at once
    Then the process lives and holds no more memory and sockets than its machine allows
    And an ordinary request to each port is answered beside the crowd
