package front

import (
	"net"
	"net/netip"
	"time"
)

const (
	// maxBuckets bounds the prefixes that are remembered. One that is forgotten begins with a full bucket, so a flood from
	// more prefixes passes the limiter, and meets the limits of exchanges.
	maxBuckets = 4096

	// burst is how many datagrams may come at once, as a time at the full rate: the blocks of a device come in rows.
	burst = 500 * time.Millisecond

	// prefixBits4 and prefixBits6 are the lengths of the prefixes that one rate holds for, of IPv4 and IPv6: whoever has one
	// address of a network mostly has them all.
	prefixBits4 = 24
	prefixBits6 = 56
)

// limiter limits the rate of datagrams of each address prefix by a token bucket. It is pure.
type limiter struct {
	rate    float64 // tokens a second; 0: no limit
	buckets map[netip.Prefix]bucket
}

// bucket is a token bucket.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// newLimiter makes a limiter with every bucket full.
func newLimiter(rate float64) *limiter {
	return &limiter{rate: rate, buckets: map[netip.Prefix]bucket{}}
}

// allow takes a token of a prefix's bucket; false where there is none. The time is a span since a fixed moment.
func (l *limiter) allow(now time.Duration, prefix netip.Prefix) bool {
	if l.rate <= 0 {
		return true
	}
	capacity := max(1, l.rate*burst.Seconds())
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

// addressPrefix is the prefix of an address that one rate holds for; the zero prefix for an address that is not UDP's.
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
