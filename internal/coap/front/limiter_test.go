package front

import (
	"net/netip"
	"testing"
	"time"
)

func TestLimiterLimitsRatePerPrefix(t *testing.T) {
	l := newLimiter(10)
	prefix, otherPrefix := netip.MustParsePrefix("10.0.0.0/24"), netip.MustParsePrefix("10.0.1.0/24")
	allowed := 0
	for range 100 {
		if l.allow(0, prefix) {
			allowed++
		}
	}
	if allowed != 5 || !l.allow(0, otherPrefix) {
		t.Errorf("allowed %d of a burst of 100 datagrams, want 5 (half a second at 10/s) and a separate bucket for another prefix", allowed)
	}
	if !l.allow(100*time.Millisecond, prefix) || l.allow(100*time.Millisecond, prefix) {
		t.Error("after 100 ms at 10/s: want exactly one more datagram allowed")
	}
	for i := range 3 * maxBuckets {
		l.allow(0, netip.PrefixFrom(netip.AddrFrom4([4]byte{11, byte(i >> 8), byte(i), 0}), 24))
		if len(l.buckets) > maxBuckets {
			t.Fatalf("len(buckets) = %d, want at most maxBuckets", len(l.buckets))
		}
	}
}
