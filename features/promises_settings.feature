Feature: Accepted settings under failure, on real processes

  @promise-9 @fault-race @fault-lost-reply
  Scenario: Operators race at different entries while replies are lost
    Given a complete fleet with settings
    When operators race to change the same settings while replies are lost
    Then the newest accepted change is active at every entry
    And the audit trail has every accepted change and no gap

  @promise-9 @fault-outage @fault-kill @fault-freeze
  Scenario: Nodes restart and pause during an outage of the key-value service
    Given a complete fleet with settings
    When a change is accepted, the key-value service goes down, and nodes restart and pause
    Then the newest accepted change is active at every entry
    And no entry ever showed an older change after a newer one
