package proxy

import "time"

const (
	// recentIDTime is the least time for which an id is kept. It exceeds the longest time for which a server works on a request that its
	// node has given up, and for which a client repeats one.
	recentIDTime = time.Minute

	// maxRecentIDs is the number of ids that are kept at least, if so many come within recentIDTime. Twice as many use some 2 MB.
	maxRecentIDs = 32 << 10
)

// recentIDs is a set of hashes of request ids, which forgets the oldest ones. Its zero value is empty. It consists of two generations:
// when the younger one is full or recentIDTime old it becomes the older one, whose ids are forgotten.
type recentIDs struct {
	younger, older map[uint64]struct{}
	began          time.Time // of the younger generation
}

// add adds a hash to the set.
func (r *recentIDs) add(hash uint64, now time.Time) {
	r.rotate(now)
	r.younger[hash] = struct{}{}
}

// contains reports whether the set contains a hash.
func (r *recentIDs) contains(hash uint64, now time.Time) bool {
	r.rotate(now)
	_, isYoung := r.younger[hash]
	_, isOld := r.older[hash]
	return isYoung || isOld
}

// hashes returns all hashes in the set.
func (r *recentIDs) hashes(now time.Time) []uint64 {
	r.rotate(now)
	all := make([]uint64, 0, len(r.older)+len(r.younger))
	for hash := range r.older {
		all = append(all, hash)
	}
	for hash := range r.younger {
		all = append(all, hash)
	}
	return all
}

// rotate forgets the ids that are too old.
func (r *recentIDs) rotate(now time.Time) {
	if r.younger == nil {
		r.younger = map[uint64]struct{}{}
		r.began = now
	}
	age := now.Sub(r.began)
	if age < recentIDTime && len(r.younger) < maxRecentIDs {
		return
	}
	r.older = r.younger
	if age >= 2*recentIDTime {
		r.older = nil
	}
	r.younger = map[uint64]struct{}{}
	r.began = now
}
