// Package echo makes and checks the values of the Echo option (RFC 9175), by which a device proves that it receives at the
// address it sends from, and that its request is fresh. It is pure; the key is the process's own.
//
// Requests with an effect run only with a fresh value of this very process. So a request without one has run nowhere, and
// one with another process's value may have: after a restart, and at another node, the two are told apart by that alone.
package echo

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Fresh is how long a value holds. It is longer than EXCHANGE_LIFETIME (247 s), within which duplicates are known by
// themselves: a value that has passed its time cannot be that of a retransmission.
const Lifetime = 5 * time.Minute

const (
	stampLen = 4
	macLen   = 8 // forging one takes 2^63 tries on average, each a datagram
)

// Verdict is what a value says.
type Verdict int

// The verdicts.
const (
	None    Verdict = iota // there is no value: ask for one
	Valid                  // fresh, of this process, for this endpoint
	Expired                // of this process, but old: ask for a new one
	Unknown                // another process's, another endpoint's or forged: what it comes with may have run elsewhere
)

// Maker makes and checks values.
type Authenticator struct{ key [32]byte }

// New makes a maker with a key that nobody else has.
func New(key [32]byte) *Authenticator { return &Authenticator{key} }

// Make gives a value for an endpoint at a time, which is a span since the process's start.
func (m *Authenticator) Issue(now time.Duration, endpoint string) []byte {
	stamp := binary.BigEndian.AppendUint32(nil, uint32(now/time.Second))
	return append(stamp, m.mac(stamp, endpoint)...)
}

func (m *Authenticator) mac(stamp []byte, endpoint string) []byte {
	h := hmac.New(sha256.New, m.key[:])
	_, _ = h.Write(stamp) // a hash takes everything
	_, _ = h.Write([]byte(endpoint))
	return h.Sum(nil)[:macLen]
}

// Check judges a value.
func (m *Authenticator) Check(now time.Duration, endpoint string, value []byte, there bool) Verdict {
	if !there || len(value) == 0 {
		return None
	}
	if len(value) != stampLen+macLen || !hmac.Equal(value[stampLen:], m.mac(value[:stampLen], endpoint)) {
		return Unknown
	}
	at := time.Duration(binary.BigEndian.Uint32(value)) * time.Second
	if now-at > Lifetime || at > now+time.Second {
		return Expired
	}
	return Valid
}
