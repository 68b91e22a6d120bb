Feature: batch items that a quarantine holds back are tried again in time

  Scenario: held items run soon after their part has stopped crashing endpoints
    When jobs at all nodes have items with a part that crashes endpoints until its first trial
    Then all of these items complete within 40 s of that crash

  Scenario: a trial whose node sends no request is made by another node soon
    When the node that has claimed a trial gets no more requests
    Then another node lets a request through within 10 s
