Feature: Commands to engines

  Scenario: Only the latest claim holder's commands are obeyed, whichever holder pauses
    When claim holders of an engine claim, pause and send commands in any order
    Then no former holder's command is obeyed after the first command of a later one

  Scenario: A model is never unloaded while a call that may use it runs
    When calls begin and end in any order around the withdrawal of a model
    Then the model is reported idle only after all calls that could use it have ended

  Scenario: Engines are brought to the state in the settings
    When the settings name other models and another role for two engines
    Then each engine gets load, unload and role commands with increasing fencing numbers

  Scenario: A running request keeps its model loaded
    When a model is withdrawn from an engine on which a request runs
    Then the model is unloaded only after that request has ended

  Scenario: The calls on an engine are known from all processes that hold grants
    When one process holds a grant from the engine's scheduler and another a local one
    Then both are live until they are released, and unknown while a process does not answer

  Scenario: Loads from the weight store are limited across the fleet
    When many loads are requested at once with a limit of two
    Then at most two load permits are held at a time

  Scenario: A former holder's command is refused or has ended
    When the holder of an engine's unreleased claim stops responding
    Then an engine that checks fencing gets commands after the claim, another after the longest command

  Scenario: An endpoint without models in the settings keeps its loaded models
    When an engine's endpoint in the settings lists no models
    Then the engine gets no command
