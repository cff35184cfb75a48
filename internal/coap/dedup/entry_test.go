package dedup

import (
	"fmt"
	"runtime"
	"testing"
)

// The limit in bytes holds only if EntryCost is no less than what an entry takes. The worst case is one entry for each
// endpoint.
func TestEntryCost(t *testing.T) {
	const n = 100_000
	for _, per := range []int{1, 100} {
		before := heap()
		tb := New(Limits{MaxEntries: n, MaxBytes: 1 << 30, MaxPerEndpoint: 1000})
		for i := range n {
			endpoint := fmt.Sprintf("127.0.%d.%d:%d", i/per>>8&255, i/per&255, 1024+i/per>>16)
			tb.Receive(0, message(endpoint, uint16(i), 1, true))
			tb.Complete(Key{endpoint, uint16(i)}, nil, true)
		}
		each := float64(heap()-before) / n
		runtime.KeepAlive(tb)
		t.Logf("%.0f bytes for an entry with %d of an endpoint", each, per)
		if tb.Len() != n || each > EntryCost {
			t.Errorf("an entry takes %.0f bytes, counted are %d", each, EntryCost)
		}
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
