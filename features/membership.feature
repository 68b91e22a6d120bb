Feature: Membership

  Scenario: A member table ends up the same whatever the order of rumors
    When a member table receives any rumors in any two orders
    Then the same nodes are up after both orders

  Scenario: An incarnation never decreases and a node refutes wrong rumors about itself
    When a member table receives any rumors about its own node and others
    Then no incarnation ever decreases and its own incarnation is the highest

  Scenario: A lost node leaves all views within 5 s
    When a member of fleets of several sizes is lost while some messages are lost
    Then every membership view excludes it 5 s later

  Scenario: Nodes that missed the same rumor learn it from the others
    When some members have missed the join of another one
    Then all membership views agree within 15 s

  Scenario: Lost messages never make a live node appear down
    When membership runs for minutes while 5 % of messages are lost
    Then no membership view ever considered a live node down

  Scenario: A paused node returns and considers no other node down
    When a member is paused for any time and resumes
    Then all membership views agree again and no other node was considered down

  Scenario: A suspicion does not time out while the node that holds it is paused
    When a member that suspects another is paused before the refutation arrives
    Then the suspected member was never considered down

  Scenario: Both partitions of a fleet keep working and merge again
    When membership is partitioned in two for any time and reconnected
    Then each partition kept its own nodes and all membership views agree at the end

  Scenario: All nodes know within 3 s that a node is leaving
    When a member announces that it is leaving
    Then every membership view shows it leaving 3 s later and excludes it after its end

  Scenario: Agents over real sockets discover each other and detect a lost one
    When agents meet over loopback and one stops responding
    Then the other agents remove it and keep each other

  Scenario: A node that has ended does not reappear because its port is still open
    When an agent that has stopped responding is asked for its member list
    Then it returns an empty list and stays out of all views

  Scenario: A node that no datagram reaches stays out even though its TCP port answers
    When all datagrams of a member are lost while exchanges of member lists succeed
    Then the member leaves all views and does not return until datagrams reach it

  Scenario: A restarted agent replaces its previous instance
    When an agent is restarted under the same name at another address
    Then every other agent knows only the new address

  Scenario: A process of a VM follows its agent and keeps its last view
    When a follower's agent is lost and replaced by one without state
    Then the follower kept nodes and settings and follows the new agent

  Scenario: An invalid datagram is dropped
    When an agent receives any bytes as a datagram
    Then the agent still answers

  Scenario: Nodes know the load of the others
    When any CPU usage is metered
    Then the load is between 0 and 1 and approaches steady usage
    When agents meet and one of them is busy
    Then the other agent sees its load
