Feature: a request that crashes endpoints is recognized by its copies and sent no more

  Scenario: the line of a crash names the requests that it cut, and their copies alike
    When copies of a request without prompt parts crash endpoints one after the other
    Then each crash has a line with the request's id, and all of them have the same fingerprint

  Scenario: two crashes of one endpoint within a second have a line each
    When copies of a request crash an endpoint, and again as soon as it has returned
    Then each crash has a line with the request's id, and all of them have the same fingerprint

  Scenario: copies of a request without prompt parts stop reaching endpoints
    When copies of a request without prompt parts come at all nodes among sound ones
    Then at most three copies reach endpoints later than 3 s after its third crash
    And no sound request is refused because of crashes

  Scenario: copies of a request with prompt parts stop reaching endpoints
    When copies of a request come at all nodes among sound ones that share its prompt parts
    Then at most three copies reach endpoints later than 3 s after its third crash

  Scenario: sound requests that share the prompt parts of a request that crashes are not refused
    When copies of a request come at all nodes among sound ones that share its prompt parts
    Then no sound request is refused because of crashes

  Scenario: in plays of the load copies are kept away after few crashes, whatever else crashes
    When fleets of many sizes get copies of up to three deadly requests beside other crashes
    Then at most three copies of each are sent later than 3 s after its third crash
    And at most three requests with each deadly part are sent later than 3 s after its fifth crash
    And fewer than one in a hundred sound requests is refused in the second half of all plays

  Scenario: three crashes of one request are enough, also at the same moment
    When three endpoints that run copies of a request crash within a tenth of a second
    Then the request is held responsible, and none of its prompt parts

  Scenario: crashes that a request explains accuse no sound part and release those in quarantine
    When a sound part is in quarantine for crashes that a request turns out to explain
    Then the part is released, and further crashes by the request accuse no part

  Scenario: a deadly part is not released by a node that has forgotten most of its crashes
    When a node knows one crash by a request with a part that crashed five endpoints
    Then it does not release the part because the request explains that crash

  Scenario: a request that was answered is not held for the loss of a rack
    When endpoints that run a request which was answered before crash at the same moment
    Then no request is held responsible

  Scenario: a sound request that many send is not held for ordinary crashes
    When racks of endpoints crash again and again while many send the same sound request
    Then fewer than one in a thousand sound requests is refused

  Scenario: a request in quarantine is tried three times at most, however long its copies come
    When copies of a request in quarantine come for a day
    Then it is tried three times, at growing intervals, and stays in quarantine for a day more

  Scenario: a request that crashes endpoints for a while costs no trial, and is served soon after
    When requests crash endpoints for 20 s in fleets of many sizes
    Then none crashes more endpoints than it had before its quarantine, and no sound one is held
    And all copies are answered again half a minute after

  Scenario: a flood of distinct requests and crashes costs bounded memory and time
    When crashes with many distinct requests are reported while distinct requests are answered
    Then the evidence stays within its limits, and a decision takes less than 0.1 s

  Scenario: all runs that a crash has cut reach other nodes, in datagrams of bounded size
    When a crash has cut as many runs with as long prompts as a node keeps
    Then each of its datagrams is below 30 kB, and together they name all runs

  Scenario: a prompt part of a caller is never taken for a fingerprint
    When a prompt has a part that looks like a fingerprint
    Then it is known by another name

  Scenario: all nodes learn of a request while the store is away, and a later one from the store
    When copies crash endpoints while the store is away, and a node starts after it is back
    Then no node sends a further copy, each refusal is true and names the remedy
    And the quarantine ends at all nodes when its key is removed from the store

  Scenario: an item that runs beside a request that crashes is not held and completes
    When a job runs beside copies of a request with the same prompt parts
    Then all of its items complete

  Scenario: a request whose refusal was not proven is a suspect when its endpoint crashes
    When an endpoint crashes after a refusal that is not provably that of its request
    Then the request is among those that may have crashed it

  Scenario: a trial of a request that its endpoint refuses counts, since it has reached one
    When all endpoints refuse the trial of a request in quarantine while its copies come
    Then one copy reaches one endpoint, and the trial counts
