Feature: Settings

  @promise-9 @fault-outage @fault-freeze @fault-lost-reply @fault-restart
  Scenario: No node goes back to an older revision and no proof is false
    When replicas of settings take scans, watches, marks and updates in any order
    Then no settings replica ever went back and every proof held

  @promise-9 @fault-race @fault-lost-reply
  Scenario: Every accepted change is kept once and losers of races are told
    When operators race on settings while replies are lost
    Then the settings history holds exactly the accepted changes without a hole

  Scenario: A settings write whose reply is lost is settled by its nonce
    When the reply to a settings write is lost before or after it took effect
    Then the settings change is accepted once

  Scenario: A service that is down refuses a settings change as not made
    When settings are changed during an outage of the key-value service
    Then the settings change is refused and nothing was changed

  @promise-9 @fault-outage
  Scenario: An accepted change comes into force everywhere and an outage takes nothing back
    When settings change, the service goes down, a node restarts and the relays stop
    Then all agents hold the newest settings and those without proof say so

  @promise-9 @fault-freeze
  Scenario: Proof from before a pause does not count as fresh
    When an agent is frozen with a proof of its settings waiting in its socket
    Then the proof of its settings is at least as old as the pause

  Scenario: A record that is not understood leaves the version before in force
    When a settings record of a newer version arrives
    Then the settings in force are those before it

  Scenario: A settings path is read, set and unset like a nested mapping
    When any settings value is set and unset at any path
    Then the settings value is as before
