// Calls between the nodes of a fleet on a platform.

// A key under a followed prefix; without a value, it has been deleted.
struct FollowedKey {
  1: string key,
  2: i64 revision,
  3: optional binary value,
}

// Request all keys under a prefix, or the changes after a revision.
struct AskFollowed {
  1: string prefix,
  2: optional i64 after,
  3: i32 wait_ms,
}

// lost: the changes after that revision have been compacted. failed_ms: time since the key-value
// service last failed to respond, set only if that was recently. age_ms: time since the service last
// answered about the prefix. proof_ms: time since a moment before which no change is missing in keys,
// with suspensions of the machine.
struct Followed {
  1: string refusal,
  2: bool lost,
  3: i64 revision,
  4: list<FollowedKey> keys,
  5: optional i32 failed_ms,
  6: optional i32 age_ms,
  7: optional i64 proof_ms,
}

// Request results from a position on from the node that runs a job.
struct AskResults {
  1: string job,
  2: i32 start,
  3: i32 wait_ms,
}

struct JobResult {
  1: string item,
  2: string state,
  3: string output,
}

struct JobResults {
  1: string refusal,
  2: list<JobResult> results,
}
