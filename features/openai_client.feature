Feature: A stock OpenAI client works unchanged

  Scenario: Answers, streams and models come as the client expects them
    When openai: a client chats, streams, completes and lists models
    Then openai: it gets whole answers with usage and the team's models

  Scenario: Refusals come as the client's own errors, and a broken stream never as a short answer
    When openai: a client sends a wrong key, an unknown model, too much, and meets a broken stream
    Then openai: it raises the matching errors, which say whether the request ran
