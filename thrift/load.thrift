// Reports between nodes about the requests that they have at the endpoints.

// Requests of one node, or of all nodes of one cell, at one endpoint.
struct EndpointUse {
  1: string endpoint,
  2: i32 online,
  3: i32 batch,
}

// A limited endpoint as one node knows it: the limit that it named, how long ago, and the requests
// that the node has sent since it knows of the limit.
struct EndpointLimit {
  1: string endpoint,
  2: i64 started_ms,
  3: optional double per_s,  // absent if the limit has ended
  4: i32 said_ms,
  5: i64 sent,
}

// One node; boot differs between starts of a node, and a higher sequence replaces a lower one.
struct LoadNews {
  1: string node,
  2: i64 boot,
  3: i64 sequence,
  4: list<EndpointUse> uses,
  5: bool leaving,
  6: i64 routes_version,
  7: string callers_address,
  8: string nodes_address,
  9: string domain,
  10: i32 waiting_items,
  11: bool store_failing,
  12: i32 named_ms,  // while leaving: how much longer the node may be named to callers
  13: optional map<string, i64> changed,  // revision of the latest change known, by prefix
  14: optional list<EndpointLimit> limits,
}

// The aggregate of one cell of a large fleet, reported by the cell's leader (speaker).
struct CellNews {
  1: string cell,
  2: string speaker,
  3: i64 boot,
  4: i64 sequence,
  5: list<EndpointUse> uses,
  6: i32 contenders,
  7: optional list<string> members,
}

// A crash of an endpoint as one node saw it: the shared prompt parts of what it ran there.
struct CrashNews {
  1: string endpoint,
  2: i32 age_ms,
  3: list<list<string>> prompts,
  4: i64 started_ms,  // tells the starts of an endpoint apart
  5: optional list<string> runs,  // an id of the run with each of the prompts, in their order
}

// A prompt of which an answer began so long ago and did not crash its endpoint.
struct ServedPrompt {
  1: list<string> parts,
  2: i32 age_ms,
}

// What speaks against suspected parts: answers since the crash, and parts that were answered before.
struct ServedNews {
  1: list<ServedPrompt> prompts,
  2: list<string> parts_before,
}

// One datagram.
struct FleetNews {
  1: optional LoadNews node,
  2: optional list<CellNews> cells,
  3: optional list<CrashNews> crashes,
  4: optional ServedNews served,
  5: optional list<list<string>> quarantined,
}
