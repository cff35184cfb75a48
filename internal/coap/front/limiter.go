package front

import (
	"net"
	"net/netip"
	"time"
)

const (
	// maxBuckets bounds the number of address prefixes in a limiter. At the limit all buckets are discarded, and a
	// discarded prefix starts again with a full bucket. A flood from more prefixes therefore passes the limiter and is
	// stopped by the limits on exchanges.
	maxBuckets = 4096

	// burstDuration is the capacity of a bucket, expressed as time at the full rate. Bursts are allowed because a
	// device sends the blocks of a transfer in quick succession.
	burstDuration = 500 * time.Millisecond

	// prefixBits4 and prefixBits6 are the lengths of the IPv4 and IPv6 prefixes that are rate-limited as a unit: a
	// client with one address of a network can usually use all of them.
	prefixBits4 = 24
	prefixBits6 = 56
)

// limiter limits the rate of datagrams per address prefix with token buckets. It is pure: the caller passes the time.
type limiter struct {
	rate    float64 // tokens per second; 0 means no limit
	buckets map[netip.Prefix]bucket
}

// bucket is the token bucket of one address prefix.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// newLimiter returns a limiter in which every prefix starts with a full bucket.
func newLimiter(rate float64) *limiter {
	return &limiter{rate: rate, buckets: map[netip.Prefix]bucket{}}
}

// allow takes a token from the bucket of a prefix and reports whether one was available. The time is a duration since
// a fixed moment.
func (l *limiter) allow(now time.Duration, prefix netip.Prefix) bool {
	if l.rate <= 0 {
		return true
	}
	capacity := max(1, l.rate*burstDuration.Seconds())
	b, ok := l.buckets[prefix]
	if !ok {
		if len(l.buckets) >= maxBuckets {
			clear(l.buckets)
		}
		b = bucket{tokens: capacity, updatedAt: now}
	}
	b.tokens = min(capacity, b.tokens+l.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	allowed := b.tokens >= 1
	if allowed {
		b.tokens--
	}
	l.buckets[prefix] = b
	return allowed
}

// addressPrefix returns the prefix by which an address is rate-limited, or the zero prefix if it is not a UDP address.
func addressPrefix(address net.Addr) netip.Prefix {
	udp, ok := address.(*net.UDPAddr)
	if !ok {
		return netip.Prefix{}
	}
	ip := udp.AddrPort().Addr().Unmap()
	bits := prefixBits4
	if ip.Is6() {
		bits = prefixBits6
	}
	prefix, err := ip.Prefix(bits)
	if err != nil {
		return netip.Prefix{}
	}
	return prefix
}
