Feature: Engines load models from a weight store that limits concurrent readers

  @fault-kill
  Scenario: The entries load a model on all engines within the weight store's limit
    Given weights: a fleet whose four engines share a weight store that allows two readers
    When weights: a model is added to all engines and an entry is killed meanwhile
    Then weights: every engine loads the model and serves it
    And weights: the store never has more than two readers at a time
