// Messages with which hosts claim a non-idempotent request before it runs.
// The attrs classes of the same names in hollyknot_state/_claim_messages.py
// document the messages and their fields.

struct Attempt {
  1: string coordinator,
  2: i64 number,
}

struct HeldAttempt {
  1: Attempt attempt,
  2: string outcome,
}

struct GrantClaim {
  1: binary key,
  2: Attempt attempt,
  3: i64 revision,
  4: i64 group,
}

struct CancelClaim {
  1: binary key,
  2: Attempt attempt,
  3: Attempt asker,
  4: i64 revision,
  5: i64 group,
}

struct ReleaseClaim {
  1: binary key,
  2: Attempt attempt,
}

struct RecordClaim {
  1: binary key,
  2: Attempt attempt,
  3: string outcome,
}

struct ClaimAnswer {
  1: binary key,
  2: Attempt asker,
  3: Attempt attempt,
  4: string kind,
  5: i64 group,
  6: list<HeldAttempt> held,
  7: i64 revision,
  8: list<string> holders,
  9: i64 wait_ms,
}

struct HolderEpoch {
  1: i64 revision,
  2: list<string> holders,
}

struct SlotQuestion {
  1: i32 slot,
  2: HolderEpoch epoch,
  3: i64 oldest,
  4: binary after,
}

struct LearnSlots {
  1: i64 incarnation,
  2: list<SlotQuestion> questions,
}

struct ClaimRecord {
  1: binary key,
  2: list<HeldAttempt> held,
  3: list<Attempt> refused,
}

struct SlotAnswer {
  1: i32 slot,
  2: string kind,
  3: HolderEpoch question,
  4: i64 active,
  5: list<HolderEpoch> epochs,
  6: i64 seen_from,
  7: i64 seen_to,
  8: i64 horizon_ms,
  9: list<ClaimRecord> records,
  10: binary after,
  11: bool more,
}

struct SlotAnswers {
  1: list<SlotAnswer> answers,
}
