// Package dedup recognises repeated CoAP messages, so that a request that arrives again is not run again (RFC 7252, 4.2 to
// 4.5). It is pure: the time and messages come in, what to do about them goes out.
//
// A repeat of an answered exchange gets the stored response; one of an exchange in progress waits for the same response. An
// exchange that may have had an effect is never evicted before its lifetime is over: at the limits new requests are rejected
// instead. Responses to idempotent requests are evicted first.
package dedup

import (
	"hash/maphash"
	"time"
)

// The lifetimes of RFC 7252, 4.8.2, by the standard's transmission parameters.
const (
	ExchangeLifetime = 247 * time.Second // EXCHANGE_LIFETIME: the id of a confirmable message may not be used again
	NonLifetime      = 145 * time.Second // NON_LIFETIME: that of a non-confirmable one
)

// Key identifies a message by its sender and its id.
type Key struct {
	Endpoint string // address and port, with the transport's own identity where it has one
	ID       uint16
}

// Message is a request as it was received.
type Message struct {
	Key
	Confirmable bool
	Idempotent  bool // running it twice does no harm
	// Fingerprint tells requests under one id apart: a device that has rebooted on the same port begins its ids anew, and its
	// token or payload is another. See the function Fingerprint.
	Fingerprint uint64
}

// Verdict says what to do about a message.
type Verdict int

// The verdicts.
const (
	Fresh        Verdict = iota // run it; then Complete or Remove must be called
	InProgress                  // it is running: nothing is to be done but to acknowledge it again, if it was acknowledged before
	Replay                      // send the stored response again
	TableFull                   // reject it: an exchange that may have had an effect would have to be evicted
	EndpointFull                // reject it: its endpoint has as many exchanges as it may, or another request under the id is running
)

// seed makes fingerprints this process's own, so that nobody can construct two messages with one.
var seed = maphash.MakeSeed()

// Fingerprint hashes the parts of a message by which requests under one id are told apart.
func Fingerprint(parts ...[]byte) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	for _, part := range parts {
		_, _ = h.Write(part) // a hash returns no error
		_ = h.WriteByte(0)
	}
	return h.Sum64()
}
