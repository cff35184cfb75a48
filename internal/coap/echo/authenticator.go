// Package echo issues and checks the values of the Echo option (RFC 9175). By returning such a value, a device proves
// that it receives datagrams at the address from which it sends, and that its request is fresh. The package is pure;
// each process has its own key.
//
// A process runs a request with an effect only if the request contains a fresh value that this process issued. A request
// without a value has therefore not run at any node, whereas a request with a value from another process may have run
// there. After a restart, or at another node, nothing else distinguishes the two cases.
package echo

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Lifetime is how long a value is fresh. It is longer than EXCHANGE_LIFETIME (247 s), during which retransmissions are
// detected by their message ids, so a request with an expired value cannot be a retransmission.
const Lifetime = 5 * time.Minute

// A value consists of its time of issue in seconds and a truncated MAC.
const (
	timestampLength = 4 // bytes
	macLength       = 8 // bytes; forging a MAC takes 2^63 datagrams on average
)

// timestampTolerance is how far in the future a timestamp may be.
const timestampTolerance = time.Second

// Verdict is the result of checking a value.
type Verdict int

// The verdicts.
const (
	None    Verdict = iota // no value was sent: issue one
	Valid                  // the value is fresh and was issued by this process to this endpoint
	Expired                // the value was issued by this process to this endpoint, but is too old: issue a new one
	Unknown                // the value was issued by another process or to another endpoint, or is forged: the request may have run elsewhere
)

// Authenticator issues and checks values.
type Authenticator struct{ key [32]byte }

// New returns an authenticator. The key must be kept secret.
func New(key [32]byte) *Authenticator { return &Authenticator{key} }

// Issue returns a value for an endpoint. The time is a duration since the start of the process.
func (a *Authenticator) Issue(now time.Duration, endpoint string) []byte {
	timestamp := binary.BigEndian.AppendUint32(nil, uint32(now/time.Second))
	return append(timestamp, a.mac(timestamp, endpoint)...)
}

// Check checks the value that an endpoint sent; present is false if it sent none.
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

// mac returns the truncated MAC of a timestamp for an endpoint.
func (a *Authenticator) mac(timestamp []byte, endpoint string) []byte {
	h := hmac.New(sha256.New, a.key[:])
	_, _ = h.Write(timestamp) // a hash returns no error
	_, _ = h.Write([]byte(endpoint))
	return h.Sum(nil)[:macLength]
}
