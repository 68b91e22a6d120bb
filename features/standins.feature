Feature: Behaviour of the stand-ins that tests rely on

  Scenario: Continuous batching emits every token once and admits in order
    When stand-ins: any generations arrive, step and are cancelled
    Then stand-ins: slots are never exceeded, order is kept and every token is emitted once

  Scenario: A loaded engine slows every generation and a cached prompt is faster
    When stand-ins: one generation runs alone, eight together and one with a cached prefix
    Then stand-ins: steps take longer under load and the cached prefix saves prompt processing

  Scenario: The load report lags
    When stand-ins: a load report is read at any time after any load
    Then stand-ins: it shows the load of the last full interval before the lag

  Scenario: Cache events appear late, in order and with gaps
    When stand-ins: an engine caches many prompts and its events are read immediately and later
    Then stand-ins: events appear late, in order, and some are missing

  Scenario: A disconnect, a cancellation and a crash end generations
    When stand-ins: responses are abandoned, cancelled, crashed and interrupted
    Then stand-ins: the engine records how each ended and no response looks complete

  Scenario: A resumed stream continues after the token
    When stand-ins: streams are cut at any token and resumed on another or the same engine
    Then stand-ins: both parts together are the complete answer

  Scenario: Fencing numbers are checked or ignored as configured
    When stand-ins: commands with old and new fencing numbers reach both kinds of engines
    Then stand-ins: only the engine that checks refuses the old one

  Scenario: A plain service counts every execution, with or without a reply
    When stand-ins: calls to a plain service lose replies before and after execution
    Then stand-ins: its counts match the executions

  Scenario: The VM list lags and the weight store limits its readers
    When stand-ins: the VM list changes and many readers fetch weights
    Then stand-ins: the change shows after the lag and readers over the limit are refused

  Scenario: The fault proxy delays, freezes, drops and cuts
    When stand-ins: calls cross a fault proxy under each fault
    Then stand-ins: the caller and the service see the effect of each fault

  Scenario: A crash on a prompt part resets connections, and the endpoint returns
    When stand-ins: endpoints crash on a part of a request and return, some under a new name
    Then stand-ins: all connections were reset, new ones refused until the return, and it was registered
