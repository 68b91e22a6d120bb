Feature: Real processes during failures of the key-value service

  @fault-outage
  Scenario: The calls of a fleet stay bounded during and after an outage
    Given key-value outage: a fleet whose key-value service is behind a fault proxy
    When key-value outage: the service answers only errors for some seconds
    Then key-value outage: the service saw few calls during the outage and no burst after it
    And key-value outage: settings changed afterwards take effect everywhere

  @fault-freeze @fault-cut
  @promise-4 @fault-outage @fault-cut @fault-freeze
  Scenario: Online requests are answered while the connection to the service is frozen and cut
    Given key-value outage: a fleet whose key-value service is behind a fault proxy
    When key-value outage: the connection to the service is frozen, then cut, during online requests
    Then key-value outage: every request got a complete answer
    And key-value outage: settings changed afterwards take effect everywhere
