Feature: Membership

  Scenario: Beliefs of a node end up the same in whatever order rumors come
    When a membership table hears any rumors in any two orders
    Then both orders leave the same nodes up

  Scenario: An incarnation never goes back and a wrong word about oneself is refuted
    When a membership table hears any rumors about itself and others
    Then no incarnation it holds ever goes back and its own word is the newest

  Scenario: A lost node leaves all views within 5 s
    When a member of fleets of several sizes is lost while messages are lost too
    Then every membership view is without it 5 s later

  Scenario: Nodes that missed the same news learn it from the others
    When some members have missed that another one joined
    Then all membership views agree within 15 s

  Scenario: Lost messages bring no live node down
    When membership runs for minutes while 5 in 100 messages are lost
    Then no membership view ever held a live node to be down

  Scenario: A paused node comes back and blames nobody
    When a member is paused for any time and goes on
    Then all membership views agree again and nobody else was held to be down

  Scenario: A suspicion does not ripen while the node that holds it is paused
    When a member that suspects another is paused before the refutation comes
    Then the suspected member was never held to be down

  Scenario: A fleet cut in two goes on in both halves and heals
    When membership is cut in two for any time and joined again
    Then each half kept its own nodes throughout and all membership views agree at the end

  Scenario: A node that leaves is known to leave within 3 s
    When a member announces that it leaves
    Then every membership view shows it leaving 3 s later and gone after its end

  Scenario: Agents over real sockets find each other and lose one
    When agents meet over loopback and one falls silent
    Then the agents that remain lose it and keep each other

  Scenario: A node that has ended is not brought back by its open port
    When an agent that has fallen silent is asked for its beliefs
    Then the silent agent claims nothing and stays out of all views

  Scenario: A node that no datagram reaches stays out although its TCP port answers
    When all datagrams of a member are lost while exchanges of beliefs go through
    Then the unreached member leaves all views and does not come back until it is reached

  Scenario: A restarted agent replaces its former life
    When an agent is restarted under its old name at another address
    Then every other agent knows it at the new address only

  Scenario: A process of a VM follows its agent and keeps its last view
    When a follower's agent goes away and comes back empty
    Then the follower kept nodes and settings and follows again

  Scenario: A datagram that is no message is dropped
    When an agent receives any bytes as a datagram
    Then the agent still answers

  Scenario: Nodes know how busy the others are
    When any use of the processor is metered
    Then the load lies between 0 and 1 and follows steady use
    When agents meet and one of them is busy
    Then the other agent sees its load
