Feature: what nodes tell each other and the store costs little and stays exact

  Scenario: a lost report of changed counts leaves no wrong count once the next one arrives
    When a node's counts change at random and two reports of three in a row may be lost
    Then after each report that arrives the receiver's counts are the sender's

  Scenario: a report of changed counts of a busy node is less than half of a full one
    When a node that uses many endpoints reports one request that started and one that ended
    Then its report of changes takes less than half of the bytes of its full report

  Scenario: changed counts of an unknown start of a node are not mixed with those of another
    When changes come of a node that has not reported, of a former start and out of order
    Then none of them changes any count

  Scenario: datagrams that are no report of changes are dropped
    When any bytes follow the mark of a report of changes
    Then they are decoded or refused as not valid, and nothing else fails

  Scenario: a job takes no call of its own to be closed
    When all items of a job end at a node
    Then its last listing closes it, and nothing closes it again

  Scenario: results of a job from before a restart of all nodes are read from the store once
    When the results of a job that no node is known to have run are read at each of five nodes
    Then all nodes return them and the store is asked for them once

  Scenario Outline: a leader that the store turns away <phase> leads no more, and one other reads
    Given a large fleet of a few nodes that are divided into cells
    When the store turns the leader of the active cell away <phase> and the fleet is idle
    Then one other node reads from the store, and all nodes get new routes at once

    Examples:
      | phase        |
      | for a moment |
      | for long     |
