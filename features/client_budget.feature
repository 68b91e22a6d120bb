Feature: what clients may make a process hold is divided among ports and addresses

  Scenario: the parts of all ports and jobs fit into the machine
    When the budget of machines of 32 to 4000 MB and 64 to 100000 descriptors is divided
    Then the parts hold less than the machine, and every port has some of each

  Scenario: connections from the address that holds the most yield first
    When an address holds ten connections and another one holds two
    Then the oldest connection of the first address yields, whoever comes

  Scenario: no address makes one yield that holds less
    When an address that holds the most asks for room beside smaller ones
    Then only its own connections yield

  Scenario: a request that arrives together with a crowd of silent connections is served
    When more silent connections than a server may hold and then a request come in one turn
    Then the request is answered

  Scenario: a request that is complete does not yield to one that arrives
    When the requests that fill the memory are being answered
    Then the request that arrives is refused, and they are answered

  Scenario: a slow unfinished request yields to a smaller one
    When slow unfinished requests fill the memory and an ordinary one arrives
    Then the ordinary one is answered, and a slow one is refused as not run

  Scenario: jobs beyond the memory for them are refused, and one job always fits
    When jobs are submitted beyond the memory for their items
    Then the first is stored, the next is refused, and fits once the first has ended

  Scenario: a job that was accepted is confirmed when it comes again and memory is full
    When the memory for jobs is full and an accepted job and a new one come
    Then the accepted one is confirmed and the new one is refused as not run

  Scenario: a job with more headers than an item may have is refused before it is parsed
    When a job has an item with too many headers, or too many items
    Then it is refused as a bad request that was not run

  Scenario Outline: in calm, <what> is served by a process of the smallest machine
    When one client sends <what> to a front of 32 MB
    Then it is served

    Examples:
      | what                            |
      | a body of the largest size      |
      | a job of the largest size       |
      | a job of a hundred headers each |

  Scenario: a POST to /v1/batches through a front keeps its body
    When a request with a body is sent to /v1/batches on a route
    Then the endpoint gets the body
