package proxy

import "sync"

const (
	// maxIDBytes bounds the length of a request id; clients send sixteen characters.
	maxIDBytes = 256

	// maxSiblingIDs bounds how many ids of the sibling process are stored. That process has at most one open request for
	// each client connection.
	maxSiblingIDs = 4096
)

// requestIDs holds the ids of open requests: this process's and, during an upgrade, its sibling's. A server
// could not distinguish two open requests with one id, and a response to one might be taken for the other's.
type requestIDs struct {
	mu      sync.Mutex
	open    map[string]struct{}
	sibling map[string]struct{}
	publish func(id string, open bool) // notifies the sibling process; nil: there is none
}

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]struct{}{}, sibling: map[string]struct{}{}}
}

// claim reserves an id. It reports false where another open request has it.
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

// setPublisher publishes the ids that are open and, from then on, each change. It forgets the sibling's ids.
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

// trackSibling notes an id that the sibling process has opened or closed. It reports false where there is no room for it.
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

// PublishRequestIDs calls publish with each id of a request that opens or closes, beginning with those open now; nil ends
// that. Publish must not wait. The ids that TrackSiblingRequestID has noted are forgotten.
func (h *Handler) PublishRequestIDs(publish func(id string, open bool)) { h.ids.setPublisher(publish) }

// TrackSiblingRequestID notes an id that the sibling process of an upgrade has opened or closed. Requests with an open id
// are rejected here.
func (h *Handler) TrackSiblingRequestID(id string, open bool) {
	if !h.ids.trackSibling(id, open) {
		h.options.Counters.Handover.Dropped.Inc()
	}
}

// claimID claims the request's id. It reports false where another open request has it.
func (r *request) claimID() bool {
	r.claimed = r.handler.ids.claim(r.received.id)
	return r.claimed
}

// releaseID frees the request's id. Only its first call counts.
func (r *request) releaseID() {
	if !r.claimed {
		return
	}
	r.claimed = false
	r.handler.ids.release(r.received.id)
}
