Feature: datagrams about permits

  Scenario: nonsense on the port of asks is dropped
    When any bytes and odd messages arrive on the port of asks
    Then a customer with a limit is served as before

  Scenario: an answer that comes twice or late gives its permit back
    When the answer to an ask comes twice, and another one after its time
    Then the holder has all permits but the one that was used
