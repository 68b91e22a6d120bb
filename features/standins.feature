Feature: Stand-ins do what tests rely on

  Scenario: Continuous batching gives every token once and admits in order
    When stand-ins: any generations arrive, step and are cancelled
    Then stand-ins: slots are never exceeded, order is kept and every token is given once

  Scenario: A loaded engine is slower for each and a known prompt is faster
    When stand-ins: one generation runs alone, eight together and one with a kept prefix
    Then stand-ins: steps lengthen with the load and the kept prefix saves prompt work

  Scenario: The load report lags
    When stand-ins: a load report is read at any time after any load
    Then stand-ins: it shows the load of the last full interval before the lag

  Scenario: Cache events come late, in order and with gaps
    When stand-ins: an engine caches many prompts and its events are read at once and later
    Then stand-ins: events show late, in order, and some are missing

  Scenario: A caller that goes, a cancel and a crash end generations
    When stand-ins: answers are abandoned, cancelled, crashed and broken off
    Then stand-ins: the engine records how each ended and no answer looks whole

  Scenario: A resumed stream continues behind the token
    When stand-ins: streams are cut at any token and resumed elsewhere or on the same engine
    Then stand-ins: both parts together are the whole answer

  Scenario: Fencing numbers are obeyed or ignored as declared
    When stand-ins: orders with old and new fencing numbers reach both kinds of engines
    Then stand-ins: only the engine that checks refuses the old one

  Scenario: A plain service counts what it executed, seen or not
    When stand-ins: calls to a plain service lose replies before and after execution
    Then stand-ins: its counts are those of the executions

  Scenario: The VM list and the weight store hold back
    When stand-ins: the VM list changes and many readers fetch weights
    Then stand-ins: the change shows after the lag and readers over the limit are refused

  Scenario: The fault proxy delays, freezes, loses and cuts
    When stand-ins: calls cross a fault proxy under each fault
    Then stand-ins: the caller and the service see what the fault means
