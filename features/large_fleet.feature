Feature: load reports and reads stay small in a large fleet

  Scenario: fleets are divided into an active cell and standby cells within failure domains
    When fleets of any size and distribution are divided
    Then small ones are not divided
    And large ones have the strongest nodes of each domain in the active cell
    And their other cells are small and within one domain

  Scenario: cells together preempt exactly the excess batch items
    When online requests and batch items of several cells compete for an endpoint
    Then all cells together preempt as many items as exceed the slots, and no more

  Scenario: aggregates of a cell replace each other in order
    When aggregates of a cell are lost, duplicated, reordered and sent by a new leader
    Then the latest of the current leader counts, and none counts after it has expired

  Scenario: load is known in all cells while few datagrams are sent
    Given nodes of two failure domains that make a large fleet
    When a node of one domain starts requests
    Then nodes of both domains know the load within half a second
    And each change of an active node is sent to the other active nodes only

  Scenario Outline: the next node becomes leader when the leader of <cell> is lost
    Given nodes of two failure domains that make a large fleet
    When the leader of <cell> is lost and another node there starts requests
    Then nodes of both domains know the load within three seconds

    Examples:
      | cell             |
      | the active cell  |
      | a standby cell   |

  Scenario: one node of the fleet reads changes for the others
    Given a large fleet of a few nodes that are divided into cells
    When the fleet is idle and the routes change
    Then only the active leader reads from the store, and all nodes get the new routes at once

  Scenario: the leader of a cell on standby answers the others whenever they ask
    Given a large fleet of a few nodes that are divided into cells
    When the longest age of what the leader of a cell on standby knows is added up
    Then a slow answer beside it is no reason to refuse the other nodes of the cell

  Scenario: nodes that take each other for the leader do not believe each other's old answers
    Given a large fleet of a few nodes that are divided into cells
    When two nodes ask each other while neither reads from the store
    Then both have routes that change meanwhile within three seconds

  Scenario: reads do not accumulate at a leader while nothing changes
    Given a large fleet of a few nodes that are divided into cells
    When the fleet is idle for a while
    Then no more readers wait at a leader than its cell has other nodes

  Scenario: a leader that gets no response from the store is bypassed
    Given a large fleet of a few nodes that are divided into cells
    When the store stops responding to a leader and the routes change
    Then the other nodes have the new routes within two seconds

  Scenario: a leader that does not respond is bypassed
    Given a large fleet of a few nodes that are divided into cells
    When the leaders answer no calls and the routes change
    Then the other nodes have the new routes within two seconds

  Scenario: registrations that expire in a store outage hide no endpoint from any node of a cell
    Given a large fleet of a few nodes that are divided into cells
    When the store refuses all calls for a moment and a registration expires meanwhile
    Then every node keeps the endpoint until it is back

  Scenario: results are read from the node that runs the job
    When a job is submitted at one node and its results are read at another that knows its owner
    Then the other reads all results without a call to the store for them

  Scenario: results are read from the store when the node that runs the job is unreachable
    When the node that runs a job cannot be reached by another that is asked for results
    Then the other reads all results from the store

  Scenario: a node that took over a job reads the store before it reports no new results
    When a node has taken over a job and the previous owner appends its results
    Then readers at the first node see them

  Scenario: a node that may have lost a job reads the store before it reports no new results
    When a node's lease has not been renewed and another node appends results of its job
    Then readers at the first node see them

  Scenario: incremental totals equal the sums of the valid reports
    When nodes and cells report their loads in any order and at any time
    Then the totals are the sums of the latest reports that have not expired
