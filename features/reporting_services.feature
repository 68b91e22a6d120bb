Feature: the speed of endpoints is learnt only where endpoints report how slow they are

  Scenario: endpoints of a service without reports of slowness are chosen by the former rule
    When requests of any load and speed are placed there
    Then every choice, wait and random draw is that of the former rule

  Scenario: nothing is learnt of a service without reports of slowness
    Given a service whose endpoints report no slowness
    When work takes three times as long at one of them
    Then nothing is learnt there, and other nodes are told nothing

  Scenario: news of other nodes counts only once it names a report of slowness
    Given a service whose endpoints report no slowness
    When another node tells of slow work there, and later of a report of slowness
    Then the slowness of its endpoints counts from the report on, and not before

  Scenario: one endpoint that reports to be as fast as usual is enough
    Given a service whose endpoints report no slowness
    When one of them reports that it works as usual
    Then the speed of all of them is learnt and told

  Scenario: a service that gets other endpoints starts without reports
    Given a service whose endpoints report no slowness
    When one of them reports that it works as usual
    And the service loses its endpoints and gets others
    Then it counts as one without reports again
