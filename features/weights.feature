Feature: Engines load models through a weight store with little room

  @fault-kill
  Scenario: A fleet of entries loads one model everywhere and never crowds the weight store
    Given weights: a fleet whose four engines share a weight store with room for two readers
    When weights: a model is added to all engines and an entry is lost meanwhile
    Then weights: every engine has loaded the model and serves it
    And weights: the store never had more than two readers at a time
