package front

import (
	"net/netip"
	"testing"
	"time"
)

func TestRateByPrefix(t *testing.T) {
	l := newLimiter(10)
	a, b := netip.MustParsePrefix("10.0.0.0/24"), netip.MustParsePrefix("10.0.1.0/24")
	allowed := 0
	for range 100 {
		if l.allow(0, a) {
			allowed++
		}
	}
	if allowed != 5 || !l.allow(0, b) {
		t.Errorf("%d of a burst allowed, want half a second's five; another prefix has its own", allowed)
	}
	if !l.allow(100*time.Millisecond, a) || l.allow(100*time.Millisecond, a) {
		t.Error("a tenth of a second is worth one datagram")
	}
	for i := range 3 * maxBuckets {
		l.allow(0, netip.PrefixFrom(netip.AddrFrom4([4]byte{11, byte(i >> 8), byte(i), 0}), 24))
		if len(l.buckets) > maxBuckets {
			t.Fatalf("%d prefixes are remembered", len(l.buckets))
		}
	}
}
