Feature: nodes share endpoints without a common queue

  Scenario: a request goes to the endpoint that serves it first
    When requests are placed under any loads
    Then free slots are preferred to queues, and avoided endpoints are used last

  Scenario: endpoints in the own failure domain are preferred if that causes no wait
    When requests are placed under equal loads
    Then they stay in their own failure domain

  Scenario: as many batch items are preempted as online requests need slots
    When online requests and batch items of several nodes share an endpoint
    Then together the nodes preempt exactly the excess items

  Scenario: items that can meet their deadline are served before those that cannot
    When items of several jobs wait
    Then late items are last and partly processed items first

  Scenario: the time that items need is learnt for each route
    When items of one route take a tenth of a second and those of another a minute
    Then both are ranked by the share of work that is left

  Scenario: a burst above what the endpoints serve
    When a burst exceeds the endpoints' capacity by half
    Then more callers are answered in time than without refusals, and none is refused twice

  Scenario: a request that cannot be served in time is refused immediately
    When the wait is longer than the time left
    Then the request is refused with a retry time within a third of the time left

  Scenario: registrations that expire while the store is unreachable hide no live endpoint
    When the store becomes unreachable, registrations expire, and some return
    Then live endpoints stay in use and the others are dropped afterwards

  Scenario: malformed registrations are ignored and hide no endpoint
    When malformed entries of any kind are written among the registrations
    Then they are ignored and the others stay valid

  Scenario: requests that no node counts are known from the endpoint's reports
    When an endpoint reports more requests than all nodes count
    Then its load includes the additional requests for a while

  Scenario: an unresponsive endpoint is avoided
    When an endpoint with requests in flight sends nothing
    Then it is avoided until it sends again

  Scenario: load reports of other nodes arrive in any order
    When reports are lost, duplicated and reordered
    Then the latest report of each node's latest start is used

  Scenario: platform-specific names stay in their folder
    When the sources outside the folder are searched for the platform's names
    Then none is found
