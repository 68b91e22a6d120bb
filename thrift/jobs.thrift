// Messages about batch jobs between the processes that accept them and those that run their parts.

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

// Number of parts of the job that this process still runs after handling the request.
struct CancelAnswer {
  1: i32 running,
}

// Keys of parts; in an answer, those of the requested parts that run in the answering process.
struct PartKeys {
  1: list<string> keys,
}
