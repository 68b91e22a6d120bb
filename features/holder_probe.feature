Feature: a holder that grants keeps its shares while the store turns it away

  Scenario: a holder that nobody hears lives while it answers, for a bounded time
    When a holder is neither registered nor heard but answers
    Then it counts as living within a second, and no longer after its time without a registration

  Scenario: a holder that nobody hears and that does not answer is gone
    When a holder is neither registered nor heard and does not answer
    Then it never counts as living

  Scenario: one lost answer does not end a holder
    When a holder is neither registered nor heard and every second answer is lost
    Then it counts as living from its first answer on

  Scenario: the later process of a node does not answer for the former one
    When a holder's node has registered another process at its address
    Then it never counts as living, and nobody asks it
