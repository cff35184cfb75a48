package proxy

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxIDBytes is the maximum length of a request id in bytes; clients send sixteen characters.
	maxIDBytes = 256

	// maxSiblingIDs is the maximum number of stored ids of the sibling process. That process has at most one open request
	// for each client connection.
	maxSiblingIDs = 4096
)

// IDListener is notified of changes of the request ids of this process. Its methods must not block.
type IDListener interface {
	// RequestOpened is called when a request was admitted.
	RequestOpened(id string)
	// RequestClosed is called when a request has ended. If ran is set, a server may have run it.
	RequestClosed(id string, ran bool)
	// RequestsRan is called with the hashes of the ids of ended requests that a server may have run.
	RequestsRan(hashes []uint64)
}

// requestIDs holds the ids of open requests, and of ended ones that may have run: those of this process and, during an upgrade, those
// of its sibling process. A server could not distinguish two open requests with the same id, so a response to one might be mistaken
// for the other's. A request that must not run twice must not be forwarded again after it has ended, and its server may still be
// working on it then.
type requestIDs struct {
	mu       sync.Mutex
	open     map[string]struct{} // of this process
	sibling  map[string]struct{} // open ones of the sibling process
	ran      recentIDs           // of both processes
	listener IDListener          // in the sibling process; nil: none
}

// idState is what is known of a request id.
type idState int

const (
	idUnknown idState = iota
	idOpen            // of a request that has not ended
	idRan             // of an ended request that may have run
)

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]struct{}{}, sibling: map[string]struct{}{}}
}

// claim reserves an id if it is unknown. It returns what was known of it.
func (ids *requestIDs) claim(id string) idState {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	_, open := ids.open[id]
	_, openInSibling := ids.sibling[id]
	switch {
	case open || openInSibling:
		return idOpen
	case ids.ran.contains(hashOf(id), time.Now()):
		return idRan
	}
	ids.open[id] = struct{}{}
	if ids.listener != nil {
		ids.listener.RequestOpened(id)
	}
	return idUnknown
}

// release frees a claimed id. If ran is set, a server may have run the request, so that the id cannot be claimed again for some time.
func (ids *requestIDs) release(id string, ran bool) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.open, id)
	if ran {
		ids.ran.add(hashOf(id), time.Now())
	}
	if ids.listener != nil {
		ids.listener.RequestClosed(id, ran)
	}
}

// setListener sets the listener (nil: none) and notifies it of all ids. The sibling's open ids are kept as ids that may have run: without
// a listener the sibling process has ended, and before it there was none.
func (ids *requestIDs) setListener(listener IDListener) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	now := time.Now()
	for id := range ids.sibling {
		ids.ran.add(hashOf(id), now)
	}
	ids.sibling = map[string]struct{}{}
	ids.listener = listener
	if listener == nil {
		return
	}
	listener.RequestsRan(ids.ran.hashes(now))
	for id := range ids.open {
		listener.RequestOpened(id)
	}
}

// openSibling records that the sibling process has opened an id. It returns false if the id is too long or the set is full.
func (ids *requestIDs) openSibling(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if len(ids.sibling) >= maxSiblingIDs || len(id) > maxIDBytes {
		return false
	}
	ids.sibling[id] = struct{}{}
	return true
}

// closeSibling records that the sibling process has closed an id.
func (ids *requestIDs) closeSibling(id string, ran bool) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.sibling, id)
	if ran {
		ids.ran.add(hashOf(id), time.Now())
	}
}

// addRan records ids of ended requests that may have run, by their hashes.
func (ids *requestIDs) addRan(hashes []uint64) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	now := time.Now()
	for _, hash := range hashes {
		ids.ran.add(hash, now)
	}
}

// ranHashes returns the hashes of the ids of ended requests that may have run.
func (ids *requestIDs) ranHashes() []uint64 {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	return ids.ran.hashes(time.Now())
}

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

// SetIDListener notifies a listener of all request ids that are known now, and from then on whenever a request is opened or closed, until
// SetIDListener is called with nil. Then the ids that the sibling process has open count as ids of requests that may have run.
func (h *Handler) SetIDListener(listener IDListener) { h.ids.setListener(listener) }

// OpenSiblingRequest records that the sibling process has opened a request during an upgrade. This process rejects requests with such
// an id.
func (h *Handler) OpenSiblingRequest(id string) {
	if !h.ids.openSibling(id) {
		h.options.Counters.Handover.Dropped.Inc()
	}
}

// CloseSiblingRequest records that a request of the sibling process has ended. If ran is set, a server may have run it, and this process
// goes on rejecting requests with its id.
func (h *Handler) CloseSiblingRequest(id string, ran bool) { h.ids.closeSibling(id, ran) }

// AddRanRequests records the ids of ended requests of another process that a server may have run, by their hashes.
func (h *Handler) AddRanRequests(hashes []uint64) { h.ids.addRan(hashes) }

// RanRequests returns the hashes of the ids of ended requests that a server may have run.
func (h *Handler) RanRequests() []uint64 { return h.ids.ranHashes() }

// claimID claims the request's id, or returns the rejection of a request whose id is in use or was.
func (r *request) claimID() *Rejection {
	switch r.handler.ids.claim(r.received.id) {
	case idOpen:
		return &Rejection{statusIDConflict, "id_in_use"}
	case idRan:
		return &Rejection{statusIDConflict, "id_repeated"}
	}
	r.claimed = true
	return nil
}

// releaseID frees the request's id. Only the first call has an effect.
func (r *request) releaseID() {
	if !r.claimed {
		return
	}
	r.claimed = false
	r.handler.ids.release(r.received.id, r.ran)
}
