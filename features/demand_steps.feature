Feature: batch items give way before recurring steps of online demand

  Scenario: recurring steps are learnt, and the next one is foreseen
    When demand rises five-fold for 2.4 s every 5.8 s
    Then after three steps the next one is foreseen to half a second

  Scenario: steps without a period may come at any time
    When demand rises five-fold at irregular times
    Then after three steps the reserve is kept all the time, and forgotten 20 s after the last

  Scenario: a step that stays out is not waited for
    When demand that came in steps stays low
    Then no step is expected a quarter of a period after it was due

  Scenario: steady demand is no step
    When steady demand of any level varies at random
    Then no step is ever expected

  Scenario: the beginning of traffic is no recurring step
    When traffic begins and stays steady
    Then no step is expected after it

  Scenario: an item is started before a step only if it ends in time, or is urgent
    When items of different work and due time wait in stepped demand
    Then those that end before the step and those that are due soon take any slot

  Scenario: items take at most the slots that are not reserved
    When any share of the slots is reserved
    Then items get at most the rest, and without a reserve every free slot

  Scenario: items are rarely cut by steps, and jobs end in time
    When batch jobs run beside steps of online demand with and without the forecast
    Then less than 150 runs are cut for 680 results after two steps, and no job is late

  Scenario: batch work beside steady demand is unchanged by the forecast
    When batch jobs run beside steady demand with and without the forecast
    Then both plays are equal in every figure

  Scenario: a node keeps slots free of items before a step, except of urgent ones
    Given a node whose load shows recurring steps
    When its jobs have items that are due soon and items that are not
    Then only the items that are due soon run in the step, and the others wait for "reserved"
