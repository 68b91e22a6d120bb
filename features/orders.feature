Feature: Orders to engines

  Scenario: A fencing number is held by one at a time whatever is paused
    When holders of any engine claim, pause and give orders in any order
    Then no engine order was obeyed after a later holder's first

  Scenario: A model is never unloaded while a call that may use it runs
    When calls begin and end in any order around the withdrawal of a model
    Then the model was called idle only after all calls that could use it

  Scenario: Engines are loaded as the settings ask
    When the settings name other models and another role for two engines
    Then each engine was ordered to load, unload and change role under rising fences

  Scenario: A running request keeps its model loaded
    When a model is withdrawn from an engine on which a request runs
    Then the model is unloaded only after that request has ended

  Scenario: The weight store is shared by the whole fleet
    When many loads are wanted at once with room for two
    Then no more than two weight slots were held at a time

  Scenario: A former holder's order is refused or waited out
    When an engine has an unreleased holder that fell silent
    Then an engine that checks fences gets orders after the hold, another after the longest order

  Scenario: An endpoint that names no models keeps what it has loaded
    When an engine's endpoint in the settings names no models
    Then the engine got no order
