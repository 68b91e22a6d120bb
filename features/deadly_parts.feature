Feature: a prompt part that crashes endpoints is recognized and sent no more

  Scenario: requests with a deadly part stop reaching endpoints
    When requests with a deadly part come at all nodes among sound ones
    Then at most three of them reach endpoints later than 3 s after the fifth crash

  Scenario: sound requests with the same first part are still served
    When requests with a deadly part come at all nodes among sound ones
    Then sound requests with the same first part begin as often as others

  Scenario: several parts are deadly at the same time
    When requests with two deadly parts come on two routes
    Then at most three of each reach endpoints later than 3 s after its fifth crash

  Scenario: a part that is in use at ordinary crashes is not refused
    When endpoints crash for another reason while they run requests with a popular part
    Then every request with that part is answered afterwards

  Scenario: a node that starts after the crashes does not send deadly requests
    When a node starts after the crashes and gets requests with the deadly part
    Then at most three of them reach endpoints later than 3 s after the fifth crash

  Scenario: batch items with a deadly part are held back and the others complete
    When a job has items with a deadly part
    Then these items are not given up before their time and the other items complete
    And at most three of them reach endpoints later than 3 s after the fifth crash

  Scenario: a node that is cut off from the others learns of deadly parts from the store
    When a node gets no datagrams of the others while deadly requests come
    Then it refuses requests with the part soon after the others do

  Scenario: one request of the whole fleet is let through as a trial
    When a trial is due and requests with the part come at all nodes
    Then one node lets one request through, and all nodes know of the trial

  Scenario: a quarantine that ends while it is stored does not come back
    When a request with the part is answered before the store has confirmed the quarantine
    Then no node keeps the part away afterwards

  Scenario: a quarantine is stored although the node that decided on it ends at once
    When only another node has heard of a quarantine from the node that decided
    Then the quarantine is stored, and a node that starts afterwards keeps it

  Scenario: a run that its node gave up just before a crash is counted with those that were cut
    When an endpoint crashes just after a node has given up a run there, which another node reports
    Then both nodes count the run
