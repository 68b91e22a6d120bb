Feature: test processes do not share ports

  Scenario: two test processes that begin at the same block bind every port they took
    When two test processes with the same block to begin at take ports, then bind them
    Then both bind all their ports, and none is the same

  Scenario: a block is claimed until its test process is killed, even if a program it started runs on
    When a test process that holds a block and has started a program is killed
    Then its block is refused to another before the kill and given to a third after it

  Scenario: a test process that takes more ports than a block holds gets each once
    When a test process takes more ports than a block holds
    Then no port was taken twice

  Scenario: a port that is in use for TCP or UDP only is passed over
    When a test process takes a port while others use the next ones for TCP or UDP only
    Then it gets the first port that is free for both
