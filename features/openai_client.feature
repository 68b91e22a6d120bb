Feature: A stock OpenAI client works unchanged

  Scenario: Responses, streams and models are as the client expects
    When openai: a client chats, streams, completes and lists models
    Then openai: it gets complete responses with usage and the team's models

  Scenario: Refusals raise the client's own errors, and a truncated stream is never a short response
    When openai: a client sends a wrong key, an unknown model, too much, and gets a cut stream
    Then openai: it raises the matching errors, which say whether the request ran
