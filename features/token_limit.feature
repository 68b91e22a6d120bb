Feature: the tokens that wait on a batch route stay within its limit

  Scenario: the limit holds in any interleaving of submissions, lost replies, late writes and ends
    When nodes with views of any age submit and end jobs while replies are lost and writes are late
    Then the waiting tokens never exceed the limit, and a job that fits is accepted once views agree

  Scenario: submissions far from the limit change different shares
    When nodes submit jobs at the same time, far from the limit and close to it
    Then the far ones take one call each, and the close ones a few

  Scenario: two submissions race for the last tokens
    When two nodes are sent jobs of which only one fits
    Then one is accepted, and the other is refused as not run with a retry delay

  Scenario: a job that was accepted stays accepted when the route is full
    When the reply to a submission that fills the route is lost and the job is submitted again
    Then it is accepted again and every item is listed once

  Scenario Outline: <what> frees its tokens for the next job
    When a route is filled and then freed by <what>
    Then the next job is accepted within a second

    Examples:
      | what              |
      | finished items    |
      | an ended job      |
      | items given up    |
      | a node taken over |

  Scenario: a lowered limit counts the jobs that wait already
    When the limit of a route with waiting jobs is lowered, removed and set again
    Then jobs are refused, accepted and refused, and accepted once the others have finished

  Scenario: the retry delay follows the rate at which tokens finish
    When the retry delay is computed for a full route that frees tokens slowly, fast or not at all
    Then it is the expected time until the job fits, within its bounds
