// Messages with which hosts exchange documents, liveness and signals.
// The attrs classes of the same names in hollyknot_state/_gossip_messages.py
// and _signals.py document the messages and their fields.

struct DocumentVersion {
  1: string document        // "declarations" or "hosts"
  2: i64 version
  3: i64 digest             // 63 bits
}

struct DocumentRecord {
  1: string path
  2: binary body
}

struct DocumentDelta {
  1: DocumentVersion base
  2: DocumentVersion target
  3: list<DocumentRecord> changed
  4: list<string> removed
}

struct FetchDocument {
  1: string document
  2: list<DocumentVersion> bases
  3: i64 version
  4: i32 page
}

struct DocumentPage {
  1: DocumentVersion version
  2: i32 page
  3: i32 pages
  4: binary body            // zlib
}

struct MemberUpdate {
  1: string host
  2: string state           // "alive", "suspect" or "dead"
  3: i64 incarnation
}

struct Probe {
  1: i64 sequence
}

struct ProbeAck {
  1: i64 sequence
}

struct IndirectProbe {
  1: i64 sequence
  2: string target
}

struct TierPressure {
  1: string pool
  2: i32 tier
  3: i64 age_ms
}

struct UpstreamSign {
  1: string upstream
  2: string kind
  3: i64 age_ms
}

struct SuspectRecord {
  1: binary fingerprint     // unsigned 64 bits, big endian
  2: string upstream
  3: i32 companions
  4: i64 age_ms
}

struct Gossip {
  1: bool reply
  2: list<DocumentVersion> versions
  3: list<MemberUpdate> members
  4: list<TierPressure> pressures
  5: list<UpstreamSign> signs
  6: list<SuspectRecord> suspects
}
