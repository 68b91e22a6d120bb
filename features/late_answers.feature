Feature: an answer that an engine writes once more, late, reaches no other call of the project's own form

  Scenario Outline: the copy of <copied> is not the answer to the next call on its connection
    Given an engine that writes <copied> once more when the next call comes on its connection
    When a call follows it
    Then the call gets its own answer

    Examples:
      | copied                     |
      | an answer that has its id  |
      | an answer that has no id   |
      | a report of its load       |

  Scenario: the copy of a cancellation's answer does not resume another call
    When two batch calls are revoked and the engine writes the first answer to a cancellation twice
    Then the second call gets no resume token of the first

  Scenario: connections of engines that answer with the id of the attempt are used again
    When calls are sent one after another to engines that answer with and without the id
    Then the first engine has had one connection, and the second one for each call

  Scenario: a call whose answer has no id is sent again on a new connection
    When an engine that has answered with an id answers the next call without one
    Then the engine has answered that call on a new connection
