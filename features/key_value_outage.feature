Feature: Real processes through troubles of the key-value service

  @fault-outage
  Scenario: The calls of a fleet stay bounded through an outage and after it
    Given key-value outage: a fleet whose key-value service is behind a fault proxy
    When key-value outage: the service answers nothing but errors for some seconds
    Then key-value outage: the service saw few calls in the outage and no burst after it
    And key-value outage: settings changed afterwards come into force everywhere

  @fault-freeze @fault-cut
  @promise-4 @fault-outage @fault-cut @fault-freeze
  Scenario: Questions are answered while the way to the service is frozen and cut
    Given key-value outage: a fleet whose key-value service is behind a fault proxy
    When key-value outage: the way to the service is frozen, then cut, while questions are asked
    Then key-value outage: every question was answered whole
    And key-value outage: settings changed afterwards come into force everywhere
