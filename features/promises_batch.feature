Feature: Accepted batch items under failure, on real processes

  @promise-1 @promise-6 @fault-kill
  Scenario: The VM that runs a job is lost
    Given a whole fleet that runs a job of questions and cards
    When the VM that runs the job is lost and comes back
    Then every item of the job has exactly one result
    And no card of the job ran twice
    And the results read the same at every entry

  @promise-1 @promise-6 @fault-freeze @fault-lapse
  Scenario: The VM that runs a job is paused until another has taken over
    Given a whole fleet that runs a job of questions and cards
    When the VM that runs the job is paused until another has taken over
    Then every item of the job has exactly one result
    And no card of the job ran twice
    And the results read the same at every entry

  @promise-1 @promise-6 @fault-outage @fault-kill
  Scenario: The VM that runs a job is lost during an outage of the key-value service
    Given a whole fleet that runs a job of questions and cards
    When the VM that runs the job is lost during an outage of the key-value service
    Then every item of the job has exactly one result
    And no card of the job ran twice
    And the results read the same at every entry

  @promise-1 @fault-disk @fault-kill
  Scenario: A disk VM is lost for good right after it has acknowledged a job
    Given a whole fleet that runs a job of questions and cards
    When a disk VM is lost with its disk
    Then every item of the job has exactly one result
    And the results read the same at every entry

  @promise-1 @promise-6 @fault-lost-reply @fault-resend
  Scenario: Replies of the key-value service are lost while a job is submitted twice
    Given a whole fleet whose key-value service loses replies
    When one job is submitted to two entries at once until both accept it
    Then both answers name one job
    And every item of the job has exactly one result
    And no card of the job ran twice

  @promise-2 @fault-freeze
  Scenario: A job is cancelled while the VM that runs it is paused
    Given a whole fleet that runs a job of questions and cards
    When the job is cancelled while the VM that runs it is paused, which then resumes
    Then no item of the job is dispatched from 3 seconds after that on
    And what the job has committed stays readable
