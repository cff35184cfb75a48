// Package dedup detects retransmitted CoAP requests, so that a request that arrives again is not run again (RFC 7252,
// 4.2 to 4.5). It is pure: the caller passes times and messages and acts on the returned verdicts.
//
// A message that was rejected is rejected each time it arrives again: its device may have sent the request elsewhere meanwhile.
//
// A retransmission of an answered request gets the stored response. If the request is still in progress, its response
// also answers the retransmission. An exchange that may have had an effect is never evicted before its lifetime ends: at
// the limits, new requests are rejected instead. Responses to idempotent requests are evicted first.
package dedup

import (
	"hash/maphash"
	"time"
)

// The lifetimes of RFC 7252, 4.8.2, for the standard transmission parameters.
const (
	ExchangeLifetime = 247 * time.Second // EXCHANGE_LIFETIME: how long the id of a confirmable message must not be reused
	NonLifetime      = 145 * time.Second // NON_LIFETIME: how long the id of a non-confirmable message must not be reused
)

// Key identifies a message by its sender and its message id.
type Key struct {
	Endpoint string // address and port, plus an identity if the transport provides one
	ID       uint16
}

// Message is a request as it was received.
type Message struct {
	Key
	Confirmable bool
	Idempotent  bool // running it twice does no harm
	// Fingerprint distinguishes requests with the same id. A device that has rebooted may use the same port and start
	// its ids again, but its token or payload differs. See the function Fingerprint.
	Fingerprint uint64
}

// Verdict is what the caller must do with a message.
type Verdict int

// The verdicts.
const (
	Fresh        Verdict = iota // run the request, then call Complete or Remove
	InProgress                  // the request is running: acknowledge it again if it was acknowledged before, and do nothing else
	Replay                      // send the stored response again
	TableFull                   // reject the request: an exchange that may have had an effect would have to be evicted
	EndpointFull                // reject the request: its endpoint is at its limit, or another request with the same id is running
	Refused                     // reject the request again: it was rejected before
	Ignore                      // send nothing: a rejection could not be remembered, so that the message might run when it arrives again
)

// Retention is what may be forgotten of an answered exchange before its lifetime ends.
type Retention int

// The retentions.
const (
	// KeepResponse is for requests that may have had an effect: nothing is forgotten, so that a retransmission gets the response.
	KeepResponse Retention = iota
	// KeepRefusal is for requests that were rejected and have not run: the response may be evicted, but a retransmission does not
	// run either.
	KeepRefusal
	// Evictable is for requests that do no harm if they run again, and for those whose retransmissions are rejected again by what
	// they contain.
	Evictable

	retentionCount = iota // the number of retentions
)

// seed is random for each process, so that nobody can construct two messages with the same fingerprint.
var seed = maphash.MakeSeed()

// Fingerprint hashes the parts of a message that distinguish requests with the same id.
func Fingerprint(parts ...[]byte) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	for _, part := range parts {
		_, _ = h.Write(part) // a hash returns no error
		_ = h.WriteByte(0)
	}
	return h.Sum64()
}
