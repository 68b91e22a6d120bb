Feature: nodes learn how slow each endpoint is now

  Scenario: a load report may have further figures, and odd fields are left out one by one
    When endpoints report their loads in different forms
    Then each field that makes sense is used, and no other

  Scenario: no text of a load report is too odd to be parsed
    When any text is parsed as a load report
    Then its fields are possible numbers or missing

  Scenario: reports with four figures are not dropped
    Given an endpoint whose answers report four figures
    When requests are sent there one after another
    Then its node knows the requests and the slowness that it reports

  Scenario: nonsense never moves the estimate outside its range
    When an estimate gets any reports and observations in any order of time
    Then it stays within its range

  Scenario: a change of half a second is followed and then forgotten
    When an endpoint reports a slowdown of 2.5 and nothing more
    Then it counts as that slow for a fraction of a second, and as usual a second later

  Scenario: a slowdown is seen in events of running requests within tens of milliseconds
    When an endpoint that reports nothing takes 2.5 times as long for its events
    Then it counts as slow after five observations of 20 ms, and as usual a second later

  Scenario: lasting speed is learnt by work of very different length
    When endpoints of speeds 0.6, 1 and 1.6 answer short and long requests
    Then each is known by its speed, and of an equal one nothing differs

  Scenario: an endpoint that reports wrong figures is judged by what it does
    When an endpoint always reports that it is eight times slower but works as others do
    Then it counts as less than twice as slow after thirty answers

  Scenario: an endpoint starts as a usual one and is forgotten with its start
    When an endpoint that is known as slow is gone, restarts, and is heard of late
    Then it counts as a usual one each time

  Scenario: the speed of an endpoint is bounded in memory
    When work of thousands of classes at thousands of unknown endpoints is recorded
    Then only some classes and no endpoint are kept

  Scenario: nodes tell each other what they see, each observation once
    When a node sees slow answers and another gets its load report
    Then both count the endpoint as slow, and the next report tells nothing

  Scenario: a load report without speeds, or with speeds of another form, is used all the same
    When load reports of other versions arrive
    Then their counts are used

  Scenario: batch items leave slots of slow endpoints free
    When endpoints of different slowness have room for batch items
    Then a slow one takes as many items as it does as much work for, and others come first

  Scenario: an endpoint that becomes slow is logged once, and lines are bounded
    When endpoints become slow and usual by turns
    Then there is a line for each change with hysteresis, and ten lines in ten seconds at most

  Scenario: callers gain from speeds that are learnt
    When nodes with a twentieth of the answers each place requests at endpoints of unequal speed
    Then callers wait less than by the former rule, by half of the mean gain of full knowledge

  Scenario: callers of almost full endpoints do not wait longer for learnt speeds
    When nodes place requests at endpoints of unequal speed that are almost full
    Then durations are shorter than by the former rule, and first events not a tenth later

  Scenario: callers gain if few endpoints report their slowness, too
    When only one of the endpoints of unequal speed reports its slowness
    Then callers wait less than by the former rule

  Scenario Outline: endpoints without differences are used as before
    When all endpoints are equal and <reporting> of them report four figures
    Then callers wait as long as before, and endpoints rarely count as different

    Examples:
      | reporting |
      | 0         |
      | 1         |

  Scenario: 71 nodes that learn at once settle
    When 71 nodes place requests at endpoints of constant unequal speed
    Then what a node believes varies by less than a quarter of the difference, and so does the load

  Scenario: what a node sees of an endpoint is told between its full load reports
    Given two nodes that have sent each other full load reports
    When a request of one of them meets a slow endpoint
    Then the other node knows of it before the next full report
