// Slot grants between the processes that send requests and the home scheduler of an endpoint.

struct AskGrant {
  1: string attempt,
  2: string node,
  3: string reply_to,
  4: string endpoint,
  5: string team,
  6: string kind,
  7: bool batch,
  8: double weight,
  9: double deadline_in_s,
  10: i32 prompt_tokens,
  11: i32 output_tokens,
  12: string job,
  13: double slack_s,
}

struct GrantAnswer {
  1: string grant,
  2: string attempt,
  3: string refusal,
  4: double retry_after_s,
  5: double valid_s,
}

struct ReleaseGrant {
  1: string grant,
  2: string attempt,
  3: string endpoint,
  4: bool ok,
  5: bool endpoint_at_fault,
  6: double ttft_s,
  7: i32 output_tokens,
}

struct RenewGrants {
  1: string node,
  2: list<string> grants,
}

struct RenewAnswer {
  1: list<string> lapsed,
}

struct RevokeGrant {
  1: string grant,
  2: string attempt,
}

struct LiveGrantsQuery {
  1: string endpoint,
}

struct LiveGrant {
  1: string grant,
  2: string attempt,
  3: bool batch,
}

struct LiveGrants {
  1: list<LiveGrant> grants,
}
