// Calls between the nodes of a fleet on a platform.

// A key under a followed prefix; without a value it has been deleted.
struct FollowedKey {
  1: string key,
  2: i64 revision,
  3: optional binary value,
}

// Ask for all keys under a prefix, or for the changes behind a revision.
struct AskFollowed {
  1: string prefix,
  2: optional i64 after,
  3: i32 wait_ms,
}

// lost: the changes behind that revision are not kept any more. failed_ms: how long ago the
// key-value service last failed to answer, where that is not long.
struct Followed {
  1: string refusal,
  2: bool lost,
  3: i64 revision,
  4: list<FollowedKey> keys,
  5: optional i32 failed_ms,
}

// Ask the node that runs a job for results from a position on.
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
