Feature: Settings

  @promise-9 @fault-outage @fault-freeze @fault-lost-reply @fault-restart
  Scenario: No node goes back to an older revision and no proof is false
    When settings replicas receive scans, watches, watermarks and updates in any order
    Then no settings replica ever went back and every proof was correct

  @promise-9 @fault-race @fault-lost-reply
  Scenario: Every accepted change is stored once and conflicting operators are notified
    When operators race on settings while replies are lost
    Then the settings history holds exactly the accepted changes without a gap

  Scenario: A settings write whose reply is lost is resolved by its nonce
    When the reply to a settings write is lost before or after the write was applied
    Then the settings change is accepted exactly once

  Scenario: A settings change during an outage is refused as not applied
    When settings are changed during an outage of the key-value service
    Then the settings change is refused and nothing has changed

  @promise-9 @fault-outage
  Scenario: An accepted change takes effect everywhere and an outage reverts nothing
    When settings change, the service goes down, a node restarts and the relays stop
    Then all agents hold the newest settings and report when they lack proof

  @promise-9 @fault-freeze
  Scenario: Proof from before a pause does not count as fresh
    When an agent is paused with a proof of its settings waiting in its socket
    Then the proof of its settings is at least as old as the pause

  Scenario: A record that cannot be read leaves the previous version active
    When a settings record of a newer version arrives
    Then the previous settings stay active

  Scenario: A settings path is read, set and unset like a nested mapping
    When any settings value is set and unset at any path
    Then the settings value is as before
