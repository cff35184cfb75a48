package dedup

import (
	"container/list"
	"time"
)

// maxScan bounds the search for an endpoint's evictable responses among those of all. The search runs for every message of an
// endpoint at its limit, which may be an attacker's.
const maxScan = 256

// Limits bound a table.
type Limits struct {
	MaxEntries     int // exchanges in all
	MaxBytes       int // of stored responses, with EntryCost for each exchange
	MaxPerEndpoint int // exchanges of one endpoint
}

// Stats counts what a table did.
type Stats struct {
	New, Joined, Replayed, TableFull, EndpointFull, IDReused, Evicted, Expired int64
}

// Table remembers exchanges. Times are spans since a fixed moment. It is not safe for concurrent use.
type Table struct {
	limits      Limits
	entries     map[Key]*entry
	perEndpoint map[string]int
	evictable   *list.List            // of *entry, completed and evictable, the oldest first
	expiry      [lifetimes]*list.List // of *entry, all of one lifetime, the first to expire first
	bytes       int
	stats       Stats
}

// New makes an empty table.
func New(limits Limits) *Table {
	t := &Table{
		limits:      limits,
		entries:     map[Key]*entry{},
		perEndpoint: map[string]int{},
		evictable:   list.New(),
	}
	for i := range t.expiry {
		t.expiry[i] = list.New()
	}
	return t
}

// Receive takes a message. With Replay it gives the stored response, nil where there was no room for it; with InProgress it
// tells whether the exchange was acknowledged already.
func (t *Table) Receive(now time.Duration, m Message) (v Verdict, response []byte, acknowledged bool) {
	t.expire(now)
	if e := t.entries[m.Key]; e != nil {
		switch {
		case e.fingerprint != m.Fingerprint && e.inProgress: // two requests under one id: one of them cannot be answered
			t.stats.EndpointFull++
			return EndpointFull, nil, false
		case e.fingerprint != m.Fingerprint: // the device has rebooted
			t.stats.IDReused++
			t.remove(e)
		case e.inProgress:
			t.stats.Joined++
			return InProgress, nil, e.acknowledged
		default:
			t.stats.Replayed++
			return Replay, e.response, false
		}
	}
	if verdict := t.makeRoom(m.Endpoint); verdict != Fresh {
		return verdict, nil, false
	}
	t.insert(now, m)
	t.stats.New++
	return Fresh, nil, false
}

// makeRoom evicts responses until an exchange of an endpoint fits, and gives Fresh; or the verdict that tells the limit.
func (t *Table) makeRoom(endpoint string) Verdict {
	if t.perEndpoint[endpoint] >= t.limits.MaxPerEndpoint && !t.evictOf(endpoint) {
		t.stats.EndpointFull++
		return EndpointFull
	}
	for len(t.entries) >= t.limits.MaxEntries || t.bytes+EntryCost > t.limits.MaxBytes {
		if !t.evictOldest() {
			t.stats.TableFull++
			return TableFull
		}
	}
	return Fresh
}

// MarkAcknowledged notes that an exchange in progress was acknowledged with an empty message: its repeats are acknowledged
// again.
func (t *Table) MarkAcknowledged(key Key) {
	if e := t.entries[key]; e != nil && e.inProgress {
		e.acknowledged = true
	}
}

// Complete stores the response of an exchange in progress. With harmless, running its request again would do no harm after
// all, as after a rejection: such a response may be evicted. Where there is no room for its bytes even after every eviction,
// the exchange is remembered without them: a repeat then gets no response, and still does not run.
func (t *Table) Complete(key Key, response []byte, harmless bool) {
	e := t.entries[key]
	if e == nil || !e.inProgress {
		return
	}
	e.inProgress = false
	e.evictable = e.evictable || harmless
	for t.bytes+len(response) > t.limits.MaxBytes {
		if !t.evictOldest() {
			response = nil
		}
	}
	e.response = response
	t.bytes += len(response)
	if e.evictable {
		e.byCompletion = t.evictable.PushBack(e)
	}
}

// Remove forgets an exchange in progress that has certainly had no effect, such as a rejected one: the next message under its
// id runs.
func (t *Table) Remove(key Key) {
	if e := t.entries[key]; e != nil && e.inProgress {
		t.remove(e)
	}
}

// Len is the number of exchanges.
func (t *Table) Len() int { return len(t.entries) }

// Bytes is what the exchanges are counted for: EntryCost each, and the stored responses.
func (t *Table) Bytes() int { return t.bytes }

// Stats gives the counts since the table was made.
func (t *Table) Stats() Stats { return t.stats }

// evictOldest removes the oldest evictable exchange; false where there is none.
func (t *Table) evictOldest() bool {
	oldest := t.evictable.Front()
	if oldest == nil {
		return false
	}
	t.stats.Evicted++
	t.remove(oldest.Value.(*entry))
	return true
}

// evictOf removes an endpoint's oldest evictable exchange; false where there is none among the first maxScan.
func (t *Table) evictOf(endpoint string) bool {
	scanned := 0
	for element := t.evictable.Front(); element != nil && scanned < maxScan; element = element.Next() {
		scanned++
		e := element.Value.(*entry)
		if e.key.Endpoint == endpoint {
			t.stats.Evicted++
			t.remove(e)
			return true
		}
	}
	return false
}

// expire removes the exchanges whose lifetime is over. One in progress stays: it is still owed a response.
func (t *Table) expire(now time.Duration) {
	for _, entries := range t.expiry {
		for element := entries.Front(); element != nil; {
			e := element.Value.(*entry)
			if e.expiresAt > now {
				break
			}
			element = element.Next() // before the element leaves the list
			if !e.inProgress {
				t.stats.Expired++
				t.remove(e)
			}
		}
	}
}

// insert adds an exchange in progress.
func (t *Table) insert(now time.Duration, m Message) {
	kind, span := lifetimeOf(m)
	e := &entry{
		key:         m.Key,
		fingerprint: m.Fingerprint,
		evictable:   m.Idempotent,
		inProgress:  true,
		expiresAt:   now + span,
		lifetime:    kind,
	}
	e.byExpiry = t.expiry[kind].PushBack(e)
	t.entries[m.Key] = e
	t.perEndpoint[m.Endpoint]++
	t.bytes += EntryCost
}

// remove takes an exchange out of every list.
func (t *Table) remove(e *entry) {
	delete(t.entries, e.key)
	t.perEndpoint[e.key.Endpoint]--
	if t.perEndpoint[e.key.Endpoint] == 0 {
		delete(t.perEndpoint, e.key.Endpoint)
	}
	t.expiry[e.lifetime].Remove(e.byExpiry)
	if e.byCompletion != nil {
		t.evictable.Remove(e.byCompletion)
	}
	t.bytes -= e.cost()
}
