// Immutable chunks on disk VMs.

struct PutChunk {
  1: string name,
  2: binary data,
  3: string job,
  4: i32 part,
  5: i64 expires_s,
  6: string role,
}

struct PutAnswer {
  1: bool stored,
  2: string refusal,
}

struct GetChunk {
  1: string name,
}

struct ChunkAnswer {
  1: bool found,
  2: binary data,
  3: string refusal,
  4: i64 expires_s,
}

struct ListChunks {
  1: string job,
  2: i32 part,
  3: string after,
  4: i32 limit,
  5: string role,
}

struct ChunkInfo {
  1: string name,
  2: i64 bytes,
  3: string job,
  4: i32 part,
  5: i64 expires_s,
  6: string role,
}

struct ChunkList {
  1: list<ChunkInfo> chunks,
  2: bool more,
}

// Query which of these chunks a disk VM lacks.
struct MissingQuery {
  1: list<string> names,
}

struct MissingAnswer {
  1: list<string> names,
}

// Let the input and results of a part expire soon, except for the named chunks.
struct ReleaseChunks {
  1: string job,
  2: i32 part,
  3: list<string> keep,
}
