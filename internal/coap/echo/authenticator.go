// Package echo issues and checks the values of the Echo option (RFC 9175), by which a device proves that it receives at the
// address it sends from, and that its request is fresh. It is pure; the key is the process's own.
//
// Requests with an effect run only with a fresh value of this very process. So a request without one has run nowhere, and one
// with another process's value may have: after a restart, and at another node, the two are told apart by that alone.
package echo

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Lifetime is how long a value is fresh. It is longer than EXCHANGE_LIFETIME (247 s), within which repeats are recognised by
// their message ids: a request with an expired value cannot be a retransmission.
const Lifetime = 5 * time.Minute

// A value is the time of its issue in seconds, followed by a truncated MAC.
const (
	timestampLength = 4 // bytes
	macLength       = 8 // bytes: forging one takes 2^63 attempts on average, each a datagram
)

// timestampTolerance is how far in the future a timestamp may be.
const timestampTolerance = time.Second

// Verdict is what a value proves.
type Verdict int

// The verdicts.
const (
	None    Verdict = iota // there is no value: issue one
	Valid                  // it is fresh, and was issued by this process to this endpoint
	Expired                // it was issued by this process to this endpoint, but is old: issue a new one
	Unknown                // it is another process's, another endpoint's or forged: the request with it may have run elsewhere
)

// Authenticator issues and checks values.
type Authenticator struct{ key [32]byte }

// New makes an authenticator with a key that nobody else has.
func New(key [32]byte) *Authenticator { return &Authenticator{key} }

// Issue gives a value for an endpoint. The time is a span since the start of the process.
func (a *Authenticator) Issue(now time.Duration, endpoint string) []byte {
	timestamp := binary.BigEndian.AppendUint32(nil, uint32(now/time.Second))
	return append(timestamp, a.mac(timestamp, endpoint)...)
}

// Check judges the value that an endpoint sent; present is false where it sent none.
func (a *Authenticator) Check(now time.Duration, endpoint string, value []byte, present bool) Verdict {
	if !present || len(value) == 0 {
		return None
	}
	if len(value) != timestampLength+macLength {
		return Unknown
	}
	timestamp, mac := value[:timestampLength], value[timestampLength:]
	if !hmac.Equal(mac, a.mac(timestamp, endpoint)) {
		return Unknown
	}
	issuedAt := time.Duration(binary.BigEndian.Uint32(timestamp)) * time.Second
	if now-issuedAt > Lifetime || issuedAt > now+timestampTolerance {
		return Expired
	}
	return Valid
}

// mac is the truncated MAC of a timestamp for an endpoint.
func (a *Authenticator) mac(timestamp []byte, endpoint string) []byte {
	h := hmac.New(sha256.New, a.key[:])
	_, _ = h.Write(timestamp) // a hash returns no error
	_, _ = h.Write([]byte(endpoint))
	return h.Sum(nil)[:macLength]
}
