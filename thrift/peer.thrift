// The envelope that carries every message between the system's own processes.

struct Envelope {
  1: i64 call,
  2: string method,
  3: binary payload,
  4: optional string failure,
}
