Feature: many nodes that start at the same moment serve again within seconds

  Scenario: nodes that start together do not exceed the store's reads by reading each registration
    Given a store that answers as many reads a second for each node as that of a large fleet
    When all nodes of a divided fleet start at the same moment
    Then the store refuses no read, and all nodes know all others within 5 s

  Scenario: a node that has just started does not name only itself to callers
    Given a store that is silent to a node that starts
    When callers ask that node for addresses at once, when it has read who the others are, and later
    Then it names no address at first, then all nodes, and itself if the store stays silent
