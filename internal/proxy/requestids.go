package proxy

import "sync"

const (
	// maxIDBytes is the maximum length of a request id in bytes; clients send sixteen characters.
	maxIDBytes = 256

	// maxSiblingIDs is the maximum number of stored ids of the sibling process. That process has at most one open request
	// for each client connection.
	maxSiblingIDs = 4096
)

// requestIDs holds the ids of open requests: those of this process and, during an upgrade, those of its sibling process. A
// server could not distinguish two open requests with the same id, so a response to one might be mistaken for the other's.
type requestIDs struct {
	mu      sync.Mutex
	open    map[string]struct{}        // of this process
	sibling map[string]struct{}        // of the sibling process
	publish func(id string, open bool) // notifies the sibling process; nil: none
}

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]struct{}{}, sibling: map[string]struct{}{}}
}

// claim reserves an id. It returns false if another open request has the id.
func (ids *requestIDs) claim(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if _, ok := ids.open[id]; ok {
		return false
	}
	if _, ok := ids.sibling[id]; ok {
		return false
	}
	ids.open[id] = struct{}{}
	if ids.publish != nil {
		ids.publish(id, true)
	}
	return true
}

// release frees a claimed id.
func (ids *requestIDs) release(id string) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.open, id)
	if ids.publish != nil {
		ids.publish(id, false)
	}
}

// setPublisher sets the function that is called on each change (nil: none), calls it for each open id, and deletes the sibling's
// ids.
func (ids *requestIDs) setPublisher(publish func(id string, open bool)) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.publish = publish
	ids.sibling = map[string]struct{}{}
	if publish == nil {
		return
	}
	for id := range ids.open {
		publish(id, true)
	}
}

// trackSibling records that the sibling process has opened or closed an id. It returns false if the id is too long or the set
// is full.
func (ids *requestIDs) trackSibling(id string, open bool) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if !open {
		delete(ids.sibling, id)
		return true
	}
	if len(ids.sibling) >= maxSiblingIDs || len(id) > maxIDBytes {
		return false
	}
	ids.sibling[id] = struct{}{}
	return true
}

// PublishRequestIDs calls publish for each request id that is open now, and from then on whenever an id is opened or closed,
// until PublishRequestIDs is called with nil. publish must not block. The ids recorded by TrackSiblingRequestID are deleted.
func (h *Handler) PublishRequestIDs(publish func(id string, open bool)) { h.ids.setPublisher(publish) }

// TrackSiblingRequestID records that the sibling process has opened or closed an id during an upgrade. This process rejects
// requests with an id that is open in the sibling process.
func (h *Handler) TrackSiblingRequestID(id string, open bool) {
	if !h.ids.trackSibling(id, open) {
		h.options.Counters.Handover.Dropped.Inc()
	}
}

// claimID claims the request's id. It returns false if another open request has the id.
func (r *request) claimID() bool {
	r.claimed = r.handler.ids.claim(r.received.id)
	return r.claimed
}

// releaseID frees the request's id. Only the first call has an effect.
func (r *request) releaseID() {
	if !r.claimed {
		return
	}
	r.claimed = false
	r.handler.ids.release(r.received.id)
}
