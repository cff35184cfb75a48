package counters

import (
	"encoding/json"
	"sync"
	"sync/atomic"
)

// Count is a counter or a gauge. Its zero value is ready to use and holds 0. It is safe for concurrent use.
type Count struct{ n atomic.Int64 }

// Add adds to the count.
func (c *Count) Add(n int64) { c.n.Add(n) }

// Inc adds one to the count.
func (c *Count) Inc() { c.n.Add(1) }

// Set sets the count, which is then used as a gauge.
func (c *Count) Set(n int64) { c.n.Store(n) }

// Get returns the count.
func (c *Count) Get() int64 { return c.n.Load() }

// Max sets the count to n if n is higher.
func (c *Count) Max(n int64) {
	for {
		old := c.n.Load()
		if old >= n || c.n.CompareAndSwap(old, n) {
			return
		}
	}
}

// MarshalJSON returns the count as a JSON number.
func (c *Count) MarshalJSON() ([]byte, error) { return json.Marshal(c.n.Load()) }

// ByCode holds a count for each code, such as the reason of an error. Its zero value is empty and ready to use. It is safe for
// concurrent use.
type ByCode struct {
	mu     sync.Mutex
	counts map[string]int64
}

// Inc adds one to the count of a code.
func (b *ByCode) Inc(code string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.create()
	b.counts[code]++
}

// Set sets the count of a code, which is then used as a gauge.
func (b *ByCode) Set(code string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.create()
	b.counts[code] = n
}

// create creates the map of counts. The caller must hold b.mu.
func (b *ByCode) create() {
	if b.counts == nil {
		b.counts = map[string]int64{}
	}
}

// Get returns the count of a code, which is 0 if the code has not been counted.
func (b *ByCode) Get(code string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[code]
}

// MarshalJSON returns a JSON object with the count of each code.
func (b *ByCode) MarshalJSON() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts == nil {
		return []byte("{}"), nil
	}
	return json.Marshal(b.counts)
}
