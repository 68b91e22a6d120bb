Feature: odd answers of endpoints do not reach callers through a node as complete answers

  Scenario Outline: a status <status> is no final answer of a <kind>
    Given endpoints whose answers have the status <status>
    When a <kind> request is answered by them through a node
    Then the caller is told that the endpoint failed

    Examples:
      | status              | kind |
      | 000                 | card |
      | 000                 | tale |
      | 000                 | chat |
      | 099                 | card |
      | 099                 | tale |
      | 099                 | chat |
      | 199                 | card |
      | 199                 | tale |
      | 199                 | chat |
      | 600                 | card |
      | 600                 | tale |
      | 600                 | chat |
      | 999                 | card |
      | 999                 | tale |
      | 999                 | chat |
      | 2x0                 | card |
      | 2x0                 | tale |
      | 2x0                 | chat |
      | interim without end | card |
      | interim without end | tale |
      | interim without end | chat |

  Scenario Outline: a status <status> is no output of an item
    Given endpoints whose answers have the status <status>
    When an item is answered by them once and then soundly
    Then its result is the output of the sound run

    Examples:
      | status              |
      | 000                 |
      | 099                 |
      | 199                 |
      | 600                 |
      | 999                 |
      | 2x0                 |
      | interim without end |

  Scenario Outline: a <kind> whose endpoint resets its answer during the upload is not complete
    Given an endpoint that answers without a length and resets while the upload is written
    When a <kind> request with a long body is answered by it through a node
    Then the caller gets no answer that looks complete

    Examples:
      | kind |
      | card |
      | tale |
      | chat |

  Scenario: an item whose endpoint resets its answer during the upload is run on
    Given an endpoint that answers without a length and resets while the upload is written
    When an item with a long body is answered by it once and then soundly
    Then its result is the output of the sound run
