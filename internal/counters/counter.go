package counters

import (
	"encoding/json"
	"sync"
	"sync/atomic"
)

// Count is a counter, or a gauge that is set. The zero value is 0. It is safe for concurrent use.
type Count struct{ n atomic.Int64 }

// Add adds to the count.
func (c *Count) Add(n int64) { c.n.Add(n) }

// Inc adds one.
func (c *Count) Inc() { c.n.Add(1) }

// Set sets a gauge.
func (c *Count) Set(n int64) { c.n.Store(n) }

// Get returns the count.
func (c *Count) Get() int64 { return c.n.Load() }

// Max raises the count to n if it is lower.
func (c *Count) Max(n int64) {
	for {
		old := c.n.Load()
		if old >= n || c.n.CompareAndSwap(old, n) {
			return
		}
	}
}

// MarshalJSON returns the number.
func (c *Count) MarshalJSON() ([]byte, error) { return json.Marshal(c.n.Load()) }

// ByCode counts by a code, such as the reason of an error. The zero value is empty. It is safe for concurrent use.
type ByCode struct {
	mu     sync.Mutex
	counts map[string]int64
}

// Inc adds one to a code's count.
func (b *ByCode) Inc(code string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts == nil {
		b.counts = map[string]int64{}
	}
	b.counts[code]++
}

// Get returns a code's count; 0 for one that has not been counted.
func (b *ByCode) Get(code string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[code]
}

// MarshalJSON returns an object of the codes and their counts.
func (b *ByCode) MarshalJSON() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts == nil {
		return []byte("{}"), nil
	}
	return json.Marshal(b.counts)
}
