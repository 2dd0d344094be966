// What every link between two hosts speaks: the handshake, the envelope of
// each message, and the link's own messages.
//
// Rules for every file here: a field's number is never used again; a field is
// never renumbered nor given another type; new fields are only added.
// Field names equal those of the attrs class that is registered with a struct.

// First frame of each side, in clear.
struct Hello {
  1: i16 version
  2: string host
  3: string data_centre
  4: binary nonce          // 32 random bytes
}

// Second frame of each side, the dialling one's first: HMAC-SHA256 over the
// side's label and both first frames as they were sent.
struct Proof {
  1: binary mac
}

// Every further frame.
struct Envelope {
  1: i64 call_id           // 0: a one-way message or a reply
  2: i64 reply_to          // the call_id that this answers; 0: none
  3: string traceparent    // W3C trace context; empty: none
  4: i16 kind              // number of the body's message kind
  5: binary body
}

// Asks for a Pong, to learn whether a silent link still carries bytes.
struct Ping {
}

struct Pong {
}

// The answer to a call that was not served, or not to its end.
struct CallRefusal {
  1: string reason
}
