// The protocol of every link between two hosts: the handshake, the envelope of
// each message, and the messages that keep up the link itself.
//
// Rules for all files in this directory, so that hosts of different versions
// understand each other: never reuse the number of a removed field, never
// change a field's number or type, and only add new fields. Field names equal
// those of the attrs class that is registered for the struct.

// First frame of each side, not encrypted by this protocol.
struct Hello {
  1: i16 version
  2: string host
  3: string data_centre
  4: binary nonce          // 32 random bytes
}

// Second frame of each side; the dialler sends its own first. The MAC is an
// HMAC-SHA256 over the side's label and both first frames as they were sent.
struct Proof {
  1: binary mac
}

// Every frame after the handshake.
struct Envelope {
  1: i64 call_id           // 0 for a one-way message or a reply
  2: i64 reply_to          // call_id of the call that this answers; 0 for none
  3: string traceparent    // W3C trace context; empty for none
  4: i16 kind              // number of the body's kind, as in _kinds.py
  5: binary body
}

// Asks for a Pong, to find out whether a silent link still carries bytes.
struct Ping {
}

// Answers a Ping.
struct Pong {
}

// Answers a call that was not served, or whose handler failed.
struct CallRefusal {
  1: string reason
}
