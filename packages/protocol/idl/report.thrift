// Messages that hosts exchange to forward requests by routes: datagrams with
// reports, load notes, and queries to trackers and issuers of permits, and
// requests that are relayed through a peer. The attrs classes of
// the same names in hollyknot_state document the messages and their fields;
// they are in _host_report.py unless a comment below says otherwise.

// Documented in _settings.py.
struct Address {
  1: string ip
  2: i32 port
}

struct UpstreamUse {
  1: i32 upstream           // short name: 31-bit checksum of the incarnation
  2: list<i64> waiting_tokens  // prompt tokens at each urgency, from 0
  3: i32 waiting
  4: i32 running
  5: binary urgencies       // requests at each urgency, from 0; one byte each
}

struct LaneDemand {
  1: string pool
  2: i64 loose_tokens_s
  3: i64 tight_tokens_s
  4: i32 loose_streams
  5: i32 tight_streams
}

// Same as in gossip.thrift. It is repeated because an `include` would need a
// package prefix that the compiler leaves out of the generated imports.
struct SuspectRecord {
  1: binary fingerprint     // unsigned 64 bits, big endian
  2: string upstream
  3: i32 companions
  4: i64 age_ms
}

// Documented in _signals.py.
struct CrashingPart {
  1: binary identity         // unsigned 64 bits, big endian
  2: i64 age_ms
}

// A prompt prefix and an upstream that has it cached.
struct HeldRun {
  1: i32 upstream           // same as in UpstreamUse
  2: i32 run
}

// The newest changes that a host has read from the platform's directory.
struct ReadRevisions {
  1: i64 tables
  2: i64 upstreams
  3: i64 tables_era
  4: i64 upstreams_era
}

// IssuerClaim and NamedLimit are documented in _limit_messages.py.
struct IssuerClaim {
  1: i64 incarnation
  2: Address address
  3: bool is_near
  4: i64 age_ms
}

struct NamedLimit {
  1: i32 upstream           // same as in UpstreamUse
  2: i64 age_ms
  3: optional double rate   // absent if the upstream has withdrawn its limit
  4: optional IssuerClaim issuer
}

struct LaneShare {
  1: i32 pool               // short name of the service
  2: i32 permille
  3: i32 rank
  4: i32 age_ms
}

// A full report, which also identifies its host to unknown peers.
struct HostReport {
  1: string host
  2: i64 incarnation
  3: i64 sequence
  4: Address address
  5: string data_centre
  6: i64 table_version
  8: list<UpstreamUse> uses
  9: list<SuspectRecord> suspects
  10: list<Address> contacts
  11: list<LaneDemand> demands
  13: list<HeldRun> held
  14: ReadRevisions revisions
  15: list<NamedLimit> limits
  16: optional bool takes_relays
  17: list<i32> cut_off     // short names of services
  18: list<NamedLimit> brittle  // of services in place of upstreams
  19: list<SuspectRecord> parts // of parts of prompts in place of requests
  20: list<CrashingPart> crashing_parts
}

// The frequently changing part of a report, without the fields that identify
// its host to unknown peers.
struct UseReport {
  1: i64 incarnation
  2: i64 sequence
  3: list<UpstreamUse> uses
  4: list<LaneDemand> demands
  5: list<SuspectRecord> suspects
  6: list<HeldRun> held
  7: bool is_whole
  8: optional ReadRevisions revisions   // only if changed recently and is_whole
  9: list<NamedLimit> limits            // same condition as revisions
  10: list<LaneShare> lane_shares
  11: list<i32> cut_off                 // same as in HostReport
  12: list<NamedLimit> brittle          // same as in HostReport
  13: list<SuspectRecord> parts         // same as in HostReport
  14: list<CrashingPart> crashing_parts // same as in HostReport
}

// The structs of upstreams and the Load structs are documented in
// _load_messages.py.
struct UpstreamPace {
  1: i32 upstream           // same as in UpstreamUse
  2: i32 interval_ms
}

struct UpstreamSpeed {
  1: i32 upstream           // same as in UpstreamUse
  2: i32 token_ns
}

// CustomerWork and ServiceWork are documented in _customer_work.py.
struct CustomerWork {
  1: i32 customer           // short name
  2: i32 tokens_s
}

struct ServiceWork {
  1: i32 name               // short name of the service
  2: i32 tokens_s
  3: i32 shed_tokens_s
  4: list<CustomerWork> heaviest
}

struct LoadNote {
  1: i64 incarnation
  2: i64 sequence
  3: list<UpstreamUse> uses
  4: list<HeldRun> held
  5: list<UpstreamPace> paces
  6: list<UpstreamSpeed> speeds
}

struct LoadQuery {
  1: i64 incarnation
  2: i32 number
  3: list<i32> upstreams
  4: list<i32> runs
  5: bool wants_demands
}

struct LoadAnswer {
  1: i32 number
  2: list<UpstreamUse> uses
  3: list<HeldRun> held
  4: list<UpstreamPace> paces
  5: list<LaneDemand> demands
  6: list<UpstreamSpeed> speeds
  7: list<LaneShare> lane_shares
  8: list<ServiceWork> work
}

struct LossNews {
  1: string upstream
  2: i32 age_ms
  3: bool is_crash
  4: i32 companions
  5: list<binary> fingerprints   // unsigned 64 bits each, big endian
}

// News of suspects, sent immediately instead of with the next report, which may
// be seconds away. Documented in _signals.py.
struct SuspectNews {
  1: list<SuspectRecord> suspects
  2: list<LossNews> losses
  3: list<binary> cleared        // unsigned 64 bits each, big endian
  4: i32 cleared_age_ms
  5: list<LossNews> part_losses  // of parts of prompts in place of requests
  6: list<binary> cleared_parts  // unsigned 64 bits each, big endian
  7: i32 cleared_parts_age_ms
  8: list<CrashingPart> crashing_parts
}

// EvidenceQuery and EvidenceAnswer are documented in _evidence_messages.py.
struct EvidenceQuery {
  1: i32 number
}

struct EvidenceAnswer {
  1: i32 number
  2: i32 index
  3: i32 count
  4: bool is_informed
  5: i32 left_out
  6: SuspectNews news
}

// TrialQuery and TrialAnswer are documented in _trial_messages.py.
struct TrialQuery {
  1: i32 number
  2: binary identity         // unsigned 64 bits, big endian
  3: i32 crashes
  4: bool is_alone
}

struct TrialAnswer {
  1: i32 number
  2: i32 wait_ms
}

// PermitQuery and PermitAnswer are documented in _limit_messages.py.
struct PermitQuery {
  1: i32 number
  2: string upstream        // full incarnation, not its short name
  3: NamedLimit limit
  4: bool is_least_urgent
  5: bool is_passed_over
}

struct PermitAnswer {
  1: i32 number
  2: bool is_issued
  3: i32 wait_ms
  4: optional NamedLimit limit
  5: optional Address issuer
}

// Documented in routes/_relayed.py. These are the body of an HTTP request
// between hosts, not datagrams.
struct RelayedHeader {
  1: binary name
  2: binary content
}

struct RelayedRequest {
  1: i64 sender
  2: i64 recipient
  3: string route
  4: string kind
  5: i32 timeout_ms
  6: i32 target_ms
  7: i32 gap_target_ms
  8: bool has_prompts
  9: bool may_resume
  10: string pool
  11: string customer
  12: binary fingerprint     // unsigned 64 bits, big endian
  13: i32 urgency
  14: bool is_loose
  15: i32 shed_from_urgency
  16: i32 left_ms
  17: bool may_retry
  18: string method
  19: binary target
  20: list<RelayedHeader> headers
  21: bool has_body
  22: binary body
  23: binary last_event_id
  24: list<string> tried
  25: optional string version
}

// Documented in _version_messages.py.
struct StreamVersion {
  1: binary stream_id        // unsigned 64 bits, big endian
  2: string pool
  3: string version
}

struct VersionNote {
  1: list<StreamVersion> streams
}

struct VersionQuery {
  1: i32 number
  2: binary stream_id        // unsigned 64 bits, big endian
  3: optional string pool
}

struct VersionAnswer {
  1: i32 number
  2: optional string version
  3: optional string only_version
  4: optional bool has_several
}

struct CacheSearch {
  1: string pool
  2: i32 copies
}

struct CachedNote {
  1: string pool
  2: string version
  3: list<binary> parts      // unsigned 64 bits each, big endian
}

struct HostsQuery {
  1: i32 most
}

struct HostsNote {
  1: list<string> data_centres
  2: list<binary> hosts      // unsigned 64 bits each, big endian
}
