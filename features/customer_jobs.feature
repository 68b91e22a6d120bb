Feature: a batch job belongs to its customer, and to all others it does not exist

  Scenario: calls with another key of the customer, at another node, go on with its job
    When a customer submits a job and calls about it with its other key at another node
    Then all items are read, a body is returned, the end is confirmed and the items ran once

  Scenario Outline: to another customer a job is as if it had never been submitted: <call>
    When another customer calls to <call> of a job, and of one that does not exist
    Then both answers and their calls to the store are the same, and the job goes on

    Examples:
      | call                |
      | read the results    |
      | read an item's body |
      | end the job         |

  Scenario: two customers may use the same id for jobs of their own
    When two customers submit different jobs under one id
    Then each reads the results of its own

  Scenario: a job that is submitted again with another key of its customer is accepted once
    When a job is submitted again with the other key of its customer at another node
    Then both submissions are accepted and each item ran once

  Scenario Outline: calls about jobs need a key: <call>
    When a call to <call> of a job has no key, an unknown one or two different ones
    Then each of these calls is refused with 401

    Examples:
      | call                |
      | submit the job      |
      | submit invalid text |
      | read the results    |
      | read an item's body |
      | end the job         |

  Scenario: a job outlives the key by which it was submitted
    When the key of a job is taken away before its items run
    Then all items run, the other key reads them and the former one is refused

  Scenario: items run under the name of their customer and with no key
    When a job is submitted whose items have headers with a key and another name
    Then the endpoint is told the customer with each item, and neither it nor the store gets a key

  Scenario: a job that was accepted before there were customers is read with any key
    When customers appear after a job was accepted
    Then any key reads the job, submitting it again is confirmed, and no key is refused

  Scenario: a job of an anonymous route is submitted and read without a key, also once the route is gone
    When a job is submitted without a key on an anonymous route, and the route is removed
    Then it was read without a key before and after, and its items name no customer

  Scenario: a job of a customer on an anonymous route is not read without its key
    When a customer submits a job with its key on an anonymous route
    Then it reads the job with its other key, and a caller without a key finds none

  Scenario: a job whose route was removed is read with a key of its customer only
    When the route of a customer's job is removed
    Then the customer reads the job and another finds none

  Scenario: the limit on waiting tokens is each customer's
    When one customer fills its limit on waiting tokens
    Then its next job is refused, and that of another customer is accepted

  Scenario: the finished items of a customer free its own limit
    When a customer fills its limit and its items are finished
    Then its next job is accepted

  Scenario Outline: the keys of limits in the store hold for <a name>
    When a customer with <a name> submits a job within a limit on waiting tokens
    Then its keys in the store are at most 200 bytes of plain ASCII, and all nodes count its tokens

    Examples:
      | a name               |
      | a name with slashes  |
      | a name of 200 characters |
      | a name of other scripts  |

  Scenario: without customers the keys of limits in the store are those of the routes
    When a job is submitted within a limit on waiting tokens and there are no customers
    Then the keys of its limit name the route only

  Scenario: the log lines of a customer's job are found by the id that its client sent
    When the job of a customer is explained by its id
    Then the explanation has the call, the customer and the lines of the stored job

  Scenario: a key that is not known finds jobs without a customer only, and is refused for all others
    When the host takes jobs without a key and calls come with a key that is not known
    Then the job without a customer is read, and that of a customer and an unknown one get 401
