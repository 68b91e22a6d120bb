Feature: an item that is neither running nor listed always has somebody who takes it up

  # A listing that raised an error left its results unlisted until another item ended.
  Scenario: results are listed although the store's reply to their listing cannot be read
    Given a store whose reply to a listing cannot be read
    When a job is submitted
    Then all its items complete

  Scenario Outline: a job is taken up although <reply> cannot be read
    Given a store whose reply to <reply> cannot be read
    When a job that has no owner appears
    Then all its items complete

    Examples:
      | reply                    |
      | a claim                  |
      | a read of a job's items  |
      | a read of saved progress |

  # The node ignored what happened to a job while it was taking it up.
  Scenario: a job that loses its owner while a node takes it up is taken up again
    When the lease of the only node ends while it reads the items of a job
    Then all its items complete

  Scenario: a job whose last result is listed is closed although the store fails then
    Given a store whose reply to a close cannot be read
    When a job is submitted
    Then all its items complete
    And the job is closed

  # Such an item was started again 20 times a second, on connections that nobody closed.
  Scenario Outline: an item with <what> is given up, runs nowhere and delays no other
    When a job is submitted with an item that has <what>
    Then that item is given up, and the others complete
    And its node has no open connection to an endpoint that it does not use

    Examples:
      | what                          |
      | a blank at the end of a value |
      | a blank in its path           |
      | a value beyond Latin-1        |

  Scenario: items whose endpoints are all gone do not delay those of another route
    Given a job whose route has no endpoint, due before another job
    When a job is submitted on a route that has endpoints
    Then the items of that route complete

  Scenario: items whose retention has ended are given up although none can be placed
    Given a job whose retention ends, and another that waits for an endpoint
    Then the items of the first are given up soon after
