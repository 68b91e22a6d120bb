// Slot grants between the processes that send requests and the home scheduler of an endpoint.

// A repeated request for the same attempt returns the current state of the attempt.
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

// A grant, a place in the queue, or a refusal; later answers are sent to reply_to.
struct GrantAnswer {
  1: string grant,
  2: string attempt,
  3: string refusal,
  4: double retry_after_s,
  5: double valid_s,
  6: bool queued,
  7: string endpoint,
  8: double load,
  9: double batch_load,
}

// Releases a grant, or withdraws an attempt that has no grant.
struct ReleaseGrant {
  1: string grant,
  2: string attempt,
  3: string endpoint,
  4: bool ok,
  5: bool endpoint_at_fault,
  6: double ttft_s,
  7: i32 output_tokens,
}

struct LiveGrant {
  1: string grant,
  2: string attempt,
  3: bool batch,
  4: string endpoint,
  5: string team,
  6: string job,
  7: double weight,
  8: string kind,
}

struct RenewGrants {
  1: string node,
  2: list<LiveGrant> grants,
  3: string reply_to,
}

// A grant in neither list belongs to an endpoint with another home scheduler.
struct RenewAnswer {
  1: list<string> lapsed,
  2: list<string> renewed,
}

struct RevokeGrant {
  1: string grant,
  2: string attempt,
}

struct LiveGrantsQuery {
  1: string endpoint,
}

struct LiveGrants {
  1: list<LiveGrant> grants,
  2: string node,
  3: string reply_to,
}
