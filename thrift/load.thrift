// What the nodes tell each other of the work that they have at the endpoints.

// Requests of one node at one endpoint.
struct EndpointUse {
  1: string endpoint,
  2: i32 online,
  3: i32 batch,
}

// One datagram; boot tells the starts of a node apart, and a higher sequence replaces a lower one.
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
}
