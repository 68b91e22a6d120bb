// Membership and the distribution of the operators' settings.

// One node as it describes itself; a higher incarnation replaces a lower one.
struct Member {
  1: string node,
  2: string domain,
  3: string agent,
  4: map<string, string> services,
  5: bool leaving,
  6: double load,
  7: i64 incarnation,
}

// State of a member as one node sees it; health is 0 alive, 1 suspect, 2 down.
struct Belief {
  1: i8 health,
  2: string node,
  3: i64 incarnation,
  4: optional Member member,
}

// Watermark of the settings a node holds, and when they were proved to be the newest.
struct SettingsMark {
  1: i64 head,
  2: i64 complete,
  3: i32 proof_age_ms,
}

// One gossip datagram; kind is 0 ping, 1 ack, 2 request for an indirect ping, 3 update.
struct Probe {
  1: i8 kind,
  2: string sender,
  3: i64 sequence,
  4: optional string target,
  5: optional string target_agent,
  6: list<Belief> beliefs,
  7: optional SettingsMark settings,
  8: i32 digest,
  9: string reply_to,
  10: double load,
}

struct MemberList {
  1: string node,
  2: list<Belief> beliefs,
}

struct SettingsRecord {
  1: string subtree,
  2: i64 revision,
  3: binary data,
}

struct FetchSettings {
  1: i64 since,
}

struct SettingsUpdate {
  1: list<SettingsRecord> records,
  2: SettingsMark mark,
  3: i64 sequence,
}

// A process on the VM reports itself and requests what is newer than its own state.
struct Follow {
  1: string role,
  2: string address,
  3: i64 view,
  4: i64 settings,
}

struct FollowAnswer {
  1: i64 view,
  2: optional MemberList members,
  3: optional SettingsUpdate settings,
  4: bool proved_current,
}

struct StatusQuery {
  1: i64 revision,
}

struct NodeStatus {
  1: string node,
  2: i64 head,
  3: i64 complete,
  4: i32 proof_age_ms,
  5: bool proved_current,
  6: i32 nodes,
  7: bool in_force,
}
