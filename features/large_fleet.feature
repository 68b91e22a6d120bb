Feature: a large fleet keeps what nodes tell each other small

  Scenario: fleets are divided into cells within failure domains
    When fleets of any size and spread are divided
    Then small ones stay whole, and large ones have cells within a domain that stay small

  Scenario: cells together give way as much as is too much
    When online requests and batch items of several cells meet at an endpoint
    Then all cells together give up as many items as are too many, and no more

  Scenario: sums of cells replace each other in order
    When sums of a cell are lost, doubled, reordered and told by a new speaker
    Then the latest of the present speaker counts, and none counts after it has aged

  Scenario: work is known in all cells while few datagrams are sent
    Given nodes of two failure domains that make a large fleet
    When a node of one domain begins requests
    Then nodes of both domains know it within half a second
    And each change is told to the nodes of one cell only

  Scenario: the next node speaks when the speaker of a cell is lost
    Given nodes of two failure domains that make a large fleet
    When the speaker of a domain is lost and another node there begins requests
    Then nodes of both domains know it within three seconds

  Scenario: one node of a cell reads changes for the others
    Given a large fleet of a few nodes that are divided into two cells
    When the fleet is idle and the routes change
    Then only the leaders read from the store, and all nodes get the new routes at once

  Scenario: nothing piles up at a speaker while nothing changes
    Given a large fleet of a few nodes that are divided into two cells
    When the fleet is idle for a while
    Then no more readers wait at a leader than its cell has other nodes

  Scenario: a speaker that the store does not answer is passed over
    Given a large fleet of a few nodes that are divided into two cells
    When the store stops responding to a leader and the routes change
    Then the other nodes have the new routes within two seconds

  Scenario: a speaker that is frozen is passed over
    Given a large fleet of a few nodes that are divided into two cells
    When the leaders answer no calls and the routes change
    Then the other nodes have the new routes within two seconds

  Scenario: registrations that lapse with the store hide no endpoint from any node of a cell
    Given a large fleet of a few nodes that are divided into two cells
    When the store refuses all calls for a moment and a registration expires meanwhile
    Then every node keeps the endpoint until it is back

  Scenario: results are read from the node that runs the job
    When a job is submitted at one node and its results are read at another that knows its owner
    Then the other reads all results without a call to the store for them

  Scenario: results are read from the store when the node that runs the job cannot be asked
    When the node that runs a job cannot be reached by another that is asked for results
    Then the other reads all results from the store

  Scenario: a node that took a job over asks the store before it says that nothing is new
    When a node has taken over a job and the previous owner appends its results
    Then readers at the first node see them

  Scenario: a node that may have lost a job asks the store before it says that nothing is new
    When a node's lease has not been renewed and another node appends results of its job
    Then readers at the first node see them

  Scenario: sums that are kept are the sums of what is known
    When nodes and cells tell their loads in any order and at any time
    Then the sums kept are those of the latest words that have not aged
