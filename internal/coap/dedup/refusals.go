package dedup

import (
	"encoding/binary"
	"time"
)

// RefusalCost is the size in bytes of a remembered refusal. It covers its elements in the map and the queue.
const RefusalCost = 64

// refusals remembers messages that were rejected although they are in no entry of the table, because a rejection promises that the
// message does not run later either. A refusal takes a fraction of the memory of an entry. A message is identified by a hash: if two
// messages had the same one, the second would be rejected without a reason, which does no harm.
type refusals struct {
	limit     int
	expiresAt map[uint64]time.Duration // by the hash of the message
	queue     []uint64                 // hashes in the order of expiry
}

func newRefusals(limit int) refusals {
	return refusals{limit: limit, expiresAt: map[uint64]time.Duration{}}
}

// refusalHash identifies a message, also if another one of its endpoint has the same id.
func refusalHash(k Key, fingerprint uint64) uint64 {
	id := binary.BigEndian.AppendUint16(nil, k.ID)
	return Fingerprint([]byte(k.Endpoint), id, binary.BigEndian.AppendUint64(nil, fingerprint))
}

// contains reports whether a message was rejected.
func (r *refusals) contains(hash uint64) bool {
	_, ok := r.expiresAt[hash]
	return ok
}

// hasCapacity reports whether another refusal can be remembered.
func (r *refusals) hasCapacity() bool { return len(r.expiresAt) < r.limit }

// add remembers a refusal for ExchangeLifetime, the longest time for which the message can arrive again. It reports false if there
// is no space.
func (r *refusals) add(now time.Duration, hash uint64) bool {
	if r.contains(hash) {
		return true
	}
	if !r.hasCapacity() {
		return false
	}
	r.expiresAt[hash] = now + ExchangeLifetime
	r.queue = append(r.queue, hash)
	return true
}

// expire forgets the refusals whose time has ended.
func (r *refusals) expire(now time.Duration) {
	for len(r.queue) > 0 && r.expiresAt[r.queue[0]] <= now {
		delete(r.expiresAt, r.queue[0])
		r.queue = r.queue[1:]
	}
}
