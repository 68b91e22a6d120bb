Feature: which prompt parts crash endpoints, from what was in flight at each crash

  Scenario: deadly parts are kept away after few crashes, whatever else crashes
    When fleets of many sizes run requests with up to three deadly parts beside ordinary crashes
    Then at most three requests with each are sent later than 3 s after its fifth crash
    And in the second half at least half of the sound requests begin in each, all but 1 % in sum

  Scenario: sound requests are not refused for long, even while almost all endpoints are down
    When fleets of many sizes run requests with up to three deadly parts beside ordinary crashes
    Then in the second half fewer than one in a hundred sound requests is refused

  Scenario: ordinary crashes of many endpoints at once teach nothing
    When racks of endpoints crash again and again while popular and rare parts are in use
    Then fewer than one in a thousand requests is refused

  Scenario: parts that always come together are refused only together
    When requests with a deadly part share their other parts with sound ones that come rarely
    Then only requests with all of the parts that crashed are refused, fewer parts once served

  Scenario: the evidence and the quarantine keep a bounded amount of memory
    When crashes of many endpoints are reported with many prompts of many parts
    Then the evidence and the quarantine stay within their limits, and old ones are dropped

  Scenario: a quarantine ends when a request is answered, or when none has come for long
    When a group of parts is in quarantine
    Then it lets single requests through at growing intervals, and ends once one is answered
    And it ends when no request has held the parts for a long time

  Scenario: the loss of many endpoints at the same moment counts as one crash
    When six endpoints that run requests with the same part crash within a tenth of a second
    Then the part is not held responsible

  Scenario: news that a part was answered before the crashes does not clear or release it
    When a node learns between crashes that a deadly part was answered before them
    Then the part is put into quarantine after five crashes, and stays there

  Scenario: reports of one crash that arrive late are not a second one
    When nodes report the crash of one start of an endpoint seconds apart
    Then it counts as one crash, and that of its next start as another
