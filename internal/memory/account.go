// Package memory keeps the account of the memory that the node uses on behalf of clients and servers. Each use is charged before the
// memory is taken, so that the node as a whole stays within its limit whatever clients and servers do.
package memory

import (
	"log/slog"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

const (
	// heapOverhead is the factor by which memory on the heap is charged: garbage between two collections needs room beside it.
	heapOverhead = 1.3

	// maxUploadFraction is the largest fraction of the limit that request bodies may use, in memory and in files. The rest remains for
	// connections, so that other clients are served while uploads wait.
	maxUploadFraction = 0.6

	// reclaimInterval is the longest time between two tries to reclaim memory while a charge waits: work becomes slow as time passes.
	reclaimInterval = 50 * time.Millisecond

	// logInterval is the shortest time between two log lines about a reached limit.
	logInterval = 10 * time.Second
)

// Purpose is what memory is used for.
type Purpose int

// The purposes of memory.
const (
	ClientConnections Purpose = iota // connections of clients: buffers, stacks, the request's head
	ServerConnections                // connections to servers
	RequestBodies                    // request bodies in memory
	RequestFiles                     // files of request bodies, which count as memory
	ResponseBodies                   // response bodies in memory that are still being received
	TransferBuffers                  // buffers of large bodies on their way

	purposeCount
)

// purposeNames are the names of the purposes in counters and log lines.
var purposeNames = [purposeCount]string{"client_connections", "server_connections", "request_bodies", "request_files", "response_bodies",
	"transfer_buffers"}

// String returns the name of the purpose in counters and log lines.
func (p Purpose) String() string { return purposeNames[p] }

// isUpload reports whether memory of this purpose is limited by maxUploadFraction.
func (p Purpose) isUpload() bool { return p == RequestBodies || p == RequestFiles }

// cost returns the charge for a number of bytes.
func (p Purpose) cost(bytes int64) int64 {
	if p == RequestFiles {
		return bytes
	}
	return int64(float64(bytes) * heapOverhead)
}

// Options configure an Account.
type Options struct {
	Limit    int64 // bytes that may be charged
	Log      *slog.Logger
	Counters *counters.Memory
	// OnFileBytes is called when the size of all files has changed, in bytes. It may be nil.
	OnFileBytes func(bytes int64)
}

// Account records the memory in use by purpose and limits the sum. It is safe for concurrent use. A nil Account has no limit.
type Account struct {
	options Options

	mu       sync.Mutex
	limit    int64
	bytes    [purposeCount]int64 // in use, without overhead
	charged  int64               // sum of the costs
	uploads  int64               // sum of the costs of uploads
	waiters  int
	released chan struct{} // closed and replaced at each release while there are waiters
	reclaim  func()        // set by SetReclaim
	loggedAt time.Time
}

// New returns an Account in which nothing is in use.
func New(o Options) *Account {
	a := &Account{options: o, limit: o.Limit, released: make(chan struct{})}
	o.Counters.Limit.Set(o.Limit)
	return a
}

// SetLimit changes the limit. If more is in use, nothing further can be charged until enough was released.
func (a *Account) SetLimit(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = bytes
	a.options.Counters.Limit.Set(bytes)
}

// Limit returns the number of bytes that may be charged; 0 without a limit.
func (a *Account) Limit() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}

// SetReclaim sets a function that is called when a charge exceeds the limit. It should end slow, unfinished work, whose memory is then
// released. It must not block, and must not call the account.
func (a *Account) SetReclaim(reclaim func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reclaim = reclaim
}

// Fits reports whether a number of bytes could be charged now.
func (a *Account) Fits(p Purpose, bytes int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fits(p, bytes)
}

// CanEverFit reports whether a number of bytes could be charged if no other upload was in use.
func (a *Account) CanEverFit(p Purpose, bytes int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return p.cost(bytes) <= a.maxOf(p)
}

// maxOf returns the limit for a purpose. The caller must hold a.mu.
func (a *Account) maxOf(p Purpose) int64 {
	if p.isUpload() {
		return int64(maxUploadFraction * float64(a.limit))
	}
	return a.limit
}

// fits is Fits with a.mu held.
func (a *Account) fits(p Purpose, bytes int64) bool {
	cost := p.cost(bytes)
	if p.isUpload() && a.uploads+cost > a.maxOf(p) {
		return false
	}
	return a.charged+cost <= a.limit
}

// TryCharge charges a number of bytes if the limit allows it, and reports whether it did.
func (a *Account) TryCharge(p Purpose, bytes int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	ok := a.fits(p, bytes)
	if ok {
		a.add(p, bytes)
	}
	a.mu.Unlock()
	if !ok {
		a.recordShortage(p, bytes)
	}
	a.reportFiles(p)
	return ok
}

// Charge charges a number of bytes regardless of the limit, for memory whose amount is limited otherwise.
func (a *Account) Charge(p Purpose, bytes int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	a.add(p, bytes)
	a.mu.Unlock()
	a.reportFiles(p)
}

// WaitCharge charges a number of bytes as soon as the limit allows it. It returns false if it does not within the timeout.
func (a *Account) WaitCharge(p Purpose, bytes int64, timeout time.Duration) bool {
	if a.TryCharge(p, bytes) {
		return true
	}
	deadline := time.Now().Add(timeout)
	ticker := time.NewTicker(reclaimInterval)
	defer ticker.Stop()
	a.options.Counters.Waited.Inc()
	a.addWaiter(1)
	defer a.addWaiter(-1)
	for time.Now().Before(deadline) {
		released := a.nextRelease()
		if a.TryCharge(p, bytes) {
			return true
		}
		select {
		case <-released:
		case <-ticker.C:
		}
	}
	a.options.Counters.Refused.Inc(p.String())
	return false
}

// Reclaim starts the reclaiming of memory, for a resource that is held by the same work.
func (a *Account) Reclaim() {
	if a == nil {
		return
	}
	a.mu.Lock()
	reclaim := a.reclaim
	a.mu.Unlock()
	if reclaim != nil {
		reclaim()
	}
}

func (a *Account) addWaiter(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters += n
}

// nextRelease returns a channel that is closed at the next release.
func (a *Account) nextRelease() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.released
}

// Release releases bytes that were charged.
func (a *Account) Release(p Purpose, bytes int64) {
	if a == nil || bytes == 0 {
		return
	}
	a.mu.Lock()
	a.add(p, -bytes)
	if a.waiters > 0 {
		close(a.released)
		a.released = make(chan struct{})
	}
	a.mu.Unlock()
	a.reportFiles(p)
}

// add changes the bytes in use. The caller must hold a.mu.
func (a *Account) add(p Purpose, bytes int64) {
	before := p.cost(a.bytes[p])
	a.bytes[p] += bytes
	change := p.cost(a.bytes[p]) - before
	a.charged += change
	if p.isUpload() {
		a.uploads += change
	}
	a.options.Counters.Charged.Set(a.charged)
	a.options.Counters.Peak.Max(a.charged)
	a.options.Counters.Bytes.Set(p.String(), a.bytes[p])
}

// reportFiles calls OnFileBytes if files are concerned.
func (a *Account) reportFiles(p Purpose) {
	if p != RequestFiles || a.options.OnFileBytes == nil {
		return
	}
	a.mu.Lock()
	bytes := a.bytes[RequestFiles]
	a.mu.Unlock()
	a.options.OnFileBytes(bytes)
}

// recordShortage starts the reclaiming of memory, and logs at most one line in logInterval.
func (a *Account) recordShortage(p Purpose, bytes int64) {
	a.options.Counters.Short.Inc(p.String())
	a.mu.Lock()
	due := a.loggedAt.IsZero() || time.Since(a.loggedAt) >= logInterval
	args := []any{"code", "memory_short", "for", p.String(), "bytes", bytes, "charged", a.charged, "limit", a.limit}
	if due {
		a.loggedAt = time.Now()
		for purpose, used := range a.bytes {
			args = append(args, Purpose(purpose).String(), used)
		}
	}
	a.mu.Unlock()
	if due && a.options.Log != nil {
		a.options.Log.Warn("memory limit reached, ending slow unfinished requests and waiting", args...)
	}
	a.Reclaim()
}
