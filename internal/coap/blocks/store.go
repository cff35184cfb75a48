package blocks

import (
	"container/list"
	"time"
)

// Limits bound a store.
type Limits struct {
	MaxTransfers   int
	MaxPerEndpoint int           // transfers of one endpoint
	MaxBytes       int           // of all bodies
	MaxBodyBytes   int           // of one body
	IdleTimeout    time.Duration // after which a transfer without a message is removed
}

// Key identifies a transfer.
type Key struct {
	Endpoint string // who uploads or downloads
	Resource uint64 // a hash of method, path and query
}

// Verdict says what a block of an upload means.
type Verdict int

// The verdicts, with the codes that answer them.
const (
	Continue   Verdict = iota // 2.31: the next block is expected
	Complete                  // the body is complete
	Incomplete                // 4.08: an earlier block is missing, and the upload has to begin anew
	TooLarge                  // 4.13: the body is over the limit
	StoreFull                 // 5.03: too many uploads are in progress
)

// Store holds transfers in progress: uploads through Add, or downloads through Put and Get. Times are spans since a fixed
// moment. It is not safe for concurrent use.
type Store struct {
	limits      Limits
	transfers   map[Key]*transfer
	perEndpoint map[string]int
	byLastUse   *list.List // of *transfer, the longest unused first
	bytes       int
	abandoned   int64
}

// transfer is a body on its way.
type transfer struct {
	key     Key
	body    []byte
	usedAt  time.Duration
	element *list.Element // in byLastUse
}

// New makes an empty store.
func New(limits Limits) *Store {
	return &Store{
		limits:      limits,
		transfers:   map[Key]*transfer{},
		perEndpoint: map[string]int{},
		byLastUse:   list.New(),
	}
}

// Add takes a block of an upload. With Complete it gives the body, and the transfer is removed. Block 0 begins an upload
// anew; any other must follow on what is there.
func (s *Store) Add(now time.Duration, key Key, block Block, part []byte) (Verdict, []byte) {
	s.expire(now)
	upload := s.transfers[key]
	if block.Num == 0 && upload != nil {
		s.remove(upload)
		upload = nil
	}
	if !follows(upload, block, part) {
		return Incomplete, nil
	}
	if block.Num == 0 && !block.More {
		if len(part) > s.limits.MaxBodyBytes {
			return TooLarge, nil
		}
		return Complete, part
	}
	if upload == nil {
		if s.isFull() || s.endpointIsFull(key.Endpoint) {
			return StoreFull, nil
		}
		upload = s.insert(now, key, nil)
	}
	return s.extend(now, upload, block, part)
}

// follows reports whether a block continues an upload, which is nil where none is in progress: it begins where the upload
// ends, and only the last block may be short.
func follows(upload *transfer, block Block, part []byte) bool {
	if block.More && len(part) != block.Size() {
		return false
	}
	if block.Num == 0 {
		return true
	}
	return upload != nil && len(upload.body) == block.offset()
}

// extend adds a block to an upload.
func (s *Store) extend(now time.Duration, upload *transfer, block Block, part []byte) (Verdict, []byte) {
	if len(upload.body)+len(part) > s.limits.MaxBodyBytes {
		s.remove(upload)
		return TooLarge, nil
	}
	if s.bytes+len(part) > s.limits.MaxBytes {
		s.remove(upload)
		return StoreFull, nil
	}
	upload.body = append(upload.body, part...)
	s.bytes += len(part)
	s.touch(now, upload)
	if block.More {
		return Continue, nil
	}
	s.remove(upload)
	return Complete, upload.body
}

// Put stores a body for download in blocks, in the place of an older one under its key. The longest unused bodies are
// evicted to make room: whoever downloads one asks for it anew. A body over the limits is not stored.
func (s *Store) Put(now time.Duration, key Key, body []byte) {
	s.expire(now)
	if old := s.transfers[key]; old != nil {
		s.remove(old)
	}
	if len(body) > s.limits.MaxBytes || len(body) > s.limits.MaxBodyBytes {
		return
	}
	for s.byLastUse.Len() > 0 && (s.isFull() || s.bytes+len(body) > s.limits.MaxBytes) {
		s.abandon(s.oldest())
	}
	if s.endpointIsFull(key.Endpoint) {
		s.evictOf(key.Endpoint)
	}
	s.insert(now, key, body)
	s.bytes += len(body)
}

// Get gives a stored body; false where there is none.
func (s *Store) Get(now time.Duration, key Key) ([]byte, bool) {
	s.expire(now)
	download := s.transfers[key]
	if download == nil {
		return nil, false
	}
	s.touch(now, download)
	return download.body, true
}

// Len is the number of transfers.
func (s *Store) Len() int { return len(s.transfers) }

// Bytes is the size of all bodies.
func (s *Store) Bytes() int { return s.bytes }

// Abandoned is the number of transfers that were evicted or timed out.
func (s *Store) Abandoned() int64 { return s.abandoned }

// isFull reports whether the store has as many transfers as it may.
func (s *Store) isFull() bool { return len(s.transfers) >= s.limits.MaxTransfers }

// endpointIsFull reports whether an endpoint has as many transfers as it may.
func (s *Store) endpointIsFull(endpoint string) bool {
	return s.perEndpoint[endpoint] >= s.limits.MaxPerEndpoint
}

// oldest is the longest unused transfer of a store that has one.
func (s *Store) oldest() *transfer { return s.byLastUse.Front().Value.(*transfer) }

// evictOf removes an endpoint's longest unused transfer.
func (s *Store) evictOf(endpoint string) {
	for element := s.byLastUse.Front(); element != nil; element = element.Next() {
		candidate := element.Value.(*transfer)
		if candidate.key.Endpoint == endpoint {
			s.abandon(candidate)
			return
		}
	}
}

// insert adds a transfer. Its body's bytes are counted by the caller.
func (s *Store) insert(now time.Duration, key Key, body []byte) *transfer {
	t := &transfer{key: key, body: body, usedAt: now}
	t.element = s.byLastUse.PushBack(t)
	s.transfers[key] = t
	s.perEndpoint[key.Endpoint]++
	return t
}

// touch notes a use.
func (s *Store) touch(now time.Duration, t *transfer) {
	t.usedAt = now
	s.byLastUse.MoveToBack(t.element)
}

// expire removes the transfers that were not used for the idle timeout.
func (s *Store) expire(now time.Duration) {
	for s.byLastUse.Len() > 0 && now-s.oldest().usedAt >= s.limits.IdleTimeout {
		s.abandon(s.oldest())
	}
}

// abandon removes a transfer that is not complete.
func (s *Store) abandon(t *transfer) {
	s.abandoned++
	s.remove(t)
}

// remove takes a transfer out, with its bytes.
func (s *Store) remove(t *transfer) {
	delete(s.transfers, t.key)
	s.perEndpoint[t.key.Endpoint]--
	if s.perEndpoint[t.key.Endpoint] == 0 {
		delete(s.perEndpoint, t.key.Endpoint)
	}
	s.byLastUse.Remove(t.element)
	s.bytes -= len(t.body)
}
