Feature: an endpoint that says in its answers that it leaves gets no new requests

  Scenario Outline: an endpoint gets no request after it said in <answer> that it leaves
    Given two endpoints of each service that are registered as ready
    When one of them says in <answer> that it leaves and callers go on
    Then it gets no further request, and all callers are served by the other one

    Examples:
      | answer                 |
      | the body of a document |
      | the head of a stream   |
      | a refusal              |
      | its own failure        |

  Scenario Outline: what an endpoint says holds although <event>
    Given two endpoints of each service that are registered as ready
    When one of them says in the body of a document that it leaves and then <event>
    Then it gets no further request, and all callers are served by the other one

    Examples:
      | event                                         |
      | its registration is written as ready again    |
      | the store does not answer                     |
      | all registrations are listed anew             |
      | its registration expires and is written again |
      | its start before that answer is read late     |

  Scenario: an endpoint that starts again under its id gets requests
    Given two endpoints of each service that are registered as ready
    When one of them says that it leaves and then starts again
    Then it gets requests again

  Scenario: batch items and resumed streams avoid an endpoint that said that it leaves
    Given two endpoints of each service that are registered as ready
    When an engine says that it leaves, a job is submitted and a stream breaks off at the other
    Then the engine that leaves gets neither items nor the rest of the stream

  Scenario: a request is rejected at once if all endpoints of its service leave
    Given two endpoints of each service that are registered as ready
    When all endpoints of a service say that they leave and a caller asks
    Then the caller is told at once that the request has not run and when to come again

  Scenario: an answer of another endpoint at the same address says nothing about the expected one
    Given two endpoints of each service that are registered as ready
    When the address of an endpoint is answered by another one that leaves
    Then the expected endpoint does not count as leaving

  Scenario: a node that the store turns away drops an endpoint that its leader knows is gone
    Given a large fleet of a few nodes that are divided into cells
    When the store turns a node away that reads from its leader, and an endpoint's registration goes
    Then the node stops using that endpoint within the time for which it serves on
