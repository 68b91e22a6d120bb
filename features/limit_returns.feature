Feature: callers that come back after a refusal do not delay those that come new

  Scenario Outline: a customer asks for <factor> times its limit for long
    When callers ask for <factor> times the limit for half a minute, and all that are refused return
    Then at least half of what is let through is served at once
    And nine tenths of the limit are let through

    Examples:
      | factor |
      | 1.2    |
      | 3      |
      | 7      |

  Scenario: those that are refused in a short burst find room when they return
    When callers ask for three times the limit for half a second, and all that are refused return
    Then nine tenths of those that return find room
