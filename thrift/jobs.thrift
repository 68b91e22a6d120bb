// Notices about batch jobs between the processes that accept them and those that run their parts.

struct PartNotice {
  1: string key,
  2: i64 revision,
  3: binary record,
}

struct NewParts {
  1: list<PartNotice> parts,
}

struct CancelJob {
  1: string job,
}

// Parts of the job that this process still runs after it has taken the notice.
struct CancelAnswer {
  1: i32 running,
}

// Keys of parts; as an answer, those of the asked parts that run at the answering process.
struct PartKeys {
  1: list<string> keys,
}
