Feature: the checks of the soak can fail

  Scenario Outline: a broken promise is found
    When callers and endpoints see <broken>
    Then the soak reports it under "<promise>"

    Examples:
      | broken                                   | promise                     |
      | an answer that belongs to another        | answers are whole           |
      | an answer without a signature            | answers are whole           |
      | a stream that ran twice                  | what must not run twice     |
      | a refusal of a request that ran          | a refusal that says not run |
      | a run that nobody asked for              | endpoints run only          |
      | a run with another body                  | endpoints run only          |
      | a route that is handled as before        | routes in force             |
      | a job with an item missing               | batch jobs                  |
      | an item at two positions                 | batch jobs                  |
      | an item with an event missing            | batch jobs                  |
      | a refused job that ran                   | batch jobs                  |
      | a process that ended by itself           | processes end               |

  Scenario: nothing is found where all promises are kept
    When nothing goes wrong for callers and endpoints
    Then the soak reports nothing
