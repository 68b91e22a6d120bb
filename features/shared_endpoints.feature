Feature: nodes that share endpoints without a queue between them

  Scenario: a request goes where it is served first
    When requests are placed over any loads
    Then a free slot goes before a queue, and avoided endpoints are used last

  Scenario: near endpoints are preferred while that costs no wait
    When requests are placed over equal loads
    Then they stay in their own failure domain

  Scenario: batch leaves exactly what online requests need
    When online requests and batch items of several nodes meet at an endpoint
    Then the nodes together give up as many items as are too many, and no more

  Scenario: items that can be done in time go before those that cannot
    When items of several jobs wait
    Then late ones go last and begun ones first

  Scenario: a burst above what the endpoints serve
    When a burst comes that is half above what the endpoints serve
    Then more callers are answered in time than without refusals, and none is refused twice

  Scenario: a request that cannot be served in its time is refused at once
    When the wait is longer than the time left
    Then the request is refused with a time within a third of what is left

  Scenario: registrations that lapse with the store hide no endpoint
    When the store goes away, registrations lapse, and some come back
    Then living endpoints stay in use and the others are gone afterwards

  Scenario: entries of other writers name no endpoint and hide none
    When junk of any kind is written among the registrations
    Then it is passed over and the others hold

  Scenario: requests that no node counts are seen in endpoints' reports
    When an endpoint reports more requests than all nodes count
    Then it counts as fuller for a while

  Scenario: a silent endpoint is avoided
    When an endpoint owes answers and sends nothing
    Then it is avoided until it sends again

  Scenario: news of other nodes arrive in any order
    When news are lost, doubled and reordered
    Then the latest of each node's latest start counts

  Scenario: the platform's names stay in their folder
    When the sources outside the folder are searched for the platform's names
    Then none is found
