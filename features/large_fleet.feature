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
