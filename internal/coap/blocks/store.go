package blocks

import (
	"container/list"
	"time"
)

// Limits bounds a store.
type Limits struct {
	MaxTransfers   int
	MaxPerEndpoint int           // transfers of one endpoint
	MaxBytes       int           // total size of all bodies
	MaxBodyBytes   int           // size of one body
	IdleTimeout    time.Duration // time after the last message of a transfer until the transfer is removed
}

// Key identifies a transfer.
type Key struct {
	Endpoint string // the device that uploads or downloads
	Resource uint64 // a hash of method, path and query
}

// Verdict is the result of adding a block to an upload.
type Verdict int

// The verdicts, with the CoAP codes of their responses.
const (
	Continue   Verdict = iota // 2.31: the next block is expected
	Complete                  // the body is complete
	Incomplete                // 4.08: an earlier block is missing, so the upload must start again
	TooLarge                  // 4.13: the body exceeds the limit
	StoreFull                 // 5.03: too many uploads are in progress
)

// Store holds transfers in progress: uploads through Add, or downloads through Put and Get. Times are durations since
// a fixed moment. It is not safe for concurrent use.
type Store struct {
	limits      Limits
	transfers   map[Key]*transfer
	perEndpoint map[string]int
	lru         *list.List // of *transfer, least recently used first
	bytes       int
	abandoned   int64
}

// transfer is a body that is being uploaded or downloaded.
type transfer struct {
	key        Key
	body       []byte
	lastUsedAt time.Duration
	element    *list.Element // in Store.lru
}

// New returns an empty store.
func New(limits Limits) *Store {
	return &Store{
		limits:      limits,
		transfers:   map[Key]*transfer{},
		perEndpoint: map[string]int{},
		lru:         list.New(),
	}
}

// Add adds a block to an upload. If this completes the body, Add returns Complete and the body, and removes the
// transfer. Block 0 starts the upload again; any other block must directly follow the stored ones.
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

// follows reports whether a block continues an upload, which is nil if none is in progress. The block must start where
// the upload ends, and only the last block may be shorter than its size.
func follows(upload *transfer, block Block, part []byte) bool {
	if block.More && len(part) != block.Size() {
		return false
	}
	if block.Num == 0 {
		return true
	}
	return upload != nil && len(upload.body) == block.offset()
}

// extend appends a block to an upload.
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

// Put stores a body for download in blocks, and replaces an older one with the same key. If the store is full, the
// least recently used bodies are evicted; a device that was downloading one must request it again. A body over the
// limits is not stored.
func (s *Store) Put(now time.Duration, key Key, body []byte) {
	s.expire(now)
	if old := s.transfers[key]; old != nil {
		s.remove(old)
	}
	if len(body) > s.limits.MaxBytes || len(body) > s.limits.MaxBodyBytes {
		return
	}
	for s.lru.Len() > 0 && (s.isFull() || s.bytes+len(body) > s.limits.MaxBytes) {
		s.abandon(s.leastRecentlyUsed())
	}
	if s.endpointIsFull(key.Endpoint) {
		s.evictFromEndpoint(key.Endpoint)
	}
	s.insert(now, key, body)
	s.bytes += len(body)
}

// Get returns a stored body; false if there is none.
func (s *Store) Get(now time.Duration, key Key) ([]byte, bool) {
	s.expire(now)
	download := s.transfers[key]
	if download == nil {
		return nil, false
	}
	s.touch(now, download)
	return download.body, true
}

// Len returns the number of transfers.
func (s *Store) Len() int { return len(s.transfers) }

// Bytes returns the total size of all bodies.
func (s *Store) Bytes() int { return s.bytes }

// Abandoned returns the number of transfers that were evicted or timed out.
func (s *Store) Abandoned() int64 { return s.abandoned }

// isFull reports whether the store has reached its limit of transfers.
func (s *Store) isFull() bool { return len(s.transfers) >= s.limits.MaxTransfers }

// endpointIsFull reports whether an endpoint has reached its limit of transfers.
func (s *Store) endpointIsFull(endpoint string) bool {
	return s.perEndpoint[endpoint] >= s.limits.MaxPerEndpoint
}

// leastRecentlyUsed returns the least recently used transfer. The store must not be empty.
func (s *Store) leastRecentlyUsed() *transfer { return s.lru.Front().Value.(*transfer) }

// evictFromEndpoint removes the least recently used transfer of an endpoint.
func (s *Store) evictFromEndpoint(endpoint string) {
	for element := s.lru.Front(); element != nil; element = element.Next() {
		candidate := element.Value.(*transfer)
		if candidate.key.Endpoint == endpoint {
			s.abandon(candidate)
			return
		}
	}
}

// insert adds a transfer. The caller counts the bytes of its body.
func (s *Store) insert(now time.Duration, key Key, body []byte) *transfer {
	t := &transfer{key: key, body: body, lastUsedAt: now}
	t.element = s.lru.PushBack(t)
	s.transfers[key] = t
	s.perEndpoint[key.Endpoint]++
	return t
}

// touch marks a transfer as used now.
func (s *Store) touch(now time.Duration, t *transfer) {
	t.lastUsedAt = now
	s.lru.MoveToBack(t.element)
}

// expire removes the transfers that have not been used for the idle timeout.
func (s *Store) expire(now time.Duration) {
	for s.lru.Len() > 0 && now-s.leastRecentlyUsed().lastUsedAt >= s.limits.IdleTimeout {
		s.abandon(s.leastRecentlyUsed())
	}
}

// abandon removes an incomplete transfer and counts it as abandoned.
func (s *Store) abandon(t *transfer) {
	s.abandoned++
	s.remove(t)
}

// remove removes a transfer and subtracts its bytes.
func (s *Store) remove(t *transfer) {
	delete(s.transfers, t.key)
	s.perEndpoint[t.key.Endpoint]--
	if s.perEndpoint[t.key.Endpoint] == 0 {
		delete(s.perEndpoint, t.key.Endpoint)
	}
	s.lru.Remove(t.element)
	s.bytes -= len(t.body)
}
