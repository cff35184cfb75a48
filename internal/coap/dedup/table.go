package dedup

import (
	"container/list"
	"time"
)

// maxScan limits the number of evictable exchanges that are examined to find one of a given endpoint. The search runs
// for every message of an endpoint at its limit, which may be an attacker.
const maxScan = 256

// Limits bounds a table.
type Limits struct {
	MaxEntries     int // exchanges of all endpoints
	MaxBytes       int // stored responses, plus EntryCost per exchange
	MaxPerEndpoint int // exchanges of one endpoint
	// MaxRefusals bounds the remembered rejections of messages that are in no exchange. Each takes RefusalCost, which MaxBytes does
	// not include.
	MaxRefusals int
}

// Stats counts the verdicts of a table, and its reused ids, evictions and expirations.
type Stats struct {
	New, Joined, Replayed, TableFull, EndpointFull, Refused, Ignored, IDReused, Evicted, Expired int64
}

// Table stores exchanges. Times are durations since a fixed moment. It is not safe for concurrent use.
type Table struct {
	limits      Limits
	entries     map[Key]*entry // the latest exchange of each key
	count       int            // exchanges, including the older ones of each key
	perEndpoint map[string]int
	evictable   [retentionCount]*list.List // completed exchanges that may be evicted, as *entry, by retention, earliest completed first
	expiryLists [lifetimeCount]*list.List  // exchanges by kind of lifetime, as *entry, earliest expiry first
	refusals    refusals
	bytes       int
	stats       Stats
}

// New returns an empty table.
func New(limits Limits) *Table {
	t := &Table{
		limits:      limits,
		entries:     map[Key]*entry{},
		perEndpoint: map[string]int{},
		refusals:    newRefusals(limits.MaxRefusals),
	}
	for i := range t.expiryLists {
		t.expiryLists[i] = list.New()
	}
	for i := range t.evictable {
		t.evictable[i] = list.New()
	}
	return t
}

// Receive stores the exchange of a message, or finds the one that the message repeats. With Replay it returns the
// stored response, which is nil if there was no space for it. With InProgress it reports whether the exchange was
// already acknowledged.
func (t *Table) Receive(now time.Duration, m Message) (v Verdict, response []byte, acknowledged bool) {
	t.expire(now)
	if t.refusals.contains(refusalHash(m.Key, m.Fingerprint)) {
		t.stats.Refused++
		return Refused, nil, false
	}
	switch e := t.find(m); {
	case e != nil && e.inProgress:
		t.stats.Joined++
		return InProgress, nil, e.acknowledged
	case e != nil:
		t.stats.Replayed++
		return Replay, e.response, false
	case t.running(m.Key) != nil: // two running requests with one id: only one of them can be answered
		t.stats.EndpointFull++
		return t.refuse(now, m, EndpointFull), nil, false
	}
	if verdict := t.ensureCapacity(now, m.Endpoint); verdict != Fresh {
		return t.refuse(now, m, verdict), nil, false
	}
	if t.entries[m.Key] != nil { // the device has rebooted; copies of its older message may still arrive
		t.stats.IDReused++
	}
	t.insert(now, m)
	t.stats.New++
	return Fresh, nil, false
}

// find returns the exchange of a message; nil if there is none.
func (t *Table) find(m Message) *entry {
	e := t.entries[m.Key]
	for e != nil && e.fingerprint != m.Fingerprint {
		e = e.older
	}
	return e
}

// running returns the exchange of a key that is in progress; nil if there is none. Only the latest exchange of a key can be.
func (t *Table) running(key Key) *entry {
	if e := t.entries[key]; e != nil && e.inProgress {
		return e
	}
	return nil
}

// refuse remembers that a message is rejected, and returns the verdict. If there is no space for that, the message must not be
// rejected, and the verdict is Ignore. An idempotent request need not be remembered, because running it later does no harm.
func (t *Table) refuse(now time.Duration, m Message, verdict Verdict) Verdict {
	if m.Idempotent || t.refusals.add(now, refusalHash(m.Key, m.Fingerprint)) {
		return verdict
	}
	t.stats.Ignored++
	return Ignore
}

// ensureCapacity evicts exchanges until a new exchange of an endpoint is within all limits, and returns Fresh. If that
// is not possible, it returns the verdict for the limit that was reached.
func (t *Table) ensureCapacity(now time.Duration, endpoint string) Verdict {
	if t.perEndpoint[endpoint] >= t.limits.MaxPerEndpoint && !t.evictFromEndpoint(now, endpoint) {
		t.stats.EndpointFull++
		return EndpointFull
	}
	for t.count >= t.limits.MaxEntries || t.bytes+EntryCost > t.limits.MaxBytes {
		if !t.evictOldest(now) {
			t.stats.TableFull++
			return TableFull
		}
	}
	return Fresh
}

// MarkAcknowledged records that an exchange in progress was acknowledged with an empty message. Its retransmissions
// are then acknowledged again.
func (t *Table) MarkAcknowledged(key Key) {
	if e := t.running(key); e != nil {
		e.acknowledged = true
	}
}

// Complete stores the response of an exchange in progress. retention is what may be forgotten of it; an idempotent request is
// always Evictable. If there is no space for the response even after evicting everything that may be evicted, the exchange is stored
// without it: a retransmission then gets no response, but its request is still not run again.
func (t *Table) Complete(now time.Duration, key Key, response []byte, retention Retention) {
	e := t.running(key)
	if e == nil {
		return
	}
	e.inProgress = false
	e.retention = max(e.retention, retention)
	for t.bytes+len(response) > t.limits.MaxBytes {
		if !t.evictOldest(now) {
			response = nil
		}
	}
	e.response = response
	t.bytes += len(response)
	if e.retention != KeepResponse {
		e.byCompletion = t.evictable[e.retention].PushBack(e)
	}
}

// Remove removes an exchange in progress whose request certainly had no effect, for example because it was rejected.
// The request of the next message with the same id is then run.
func (t *Table) Remove(key Key) {
	if e := t.running(key); e != nil {
		t.remove(e)
	}
}

// Len returns the number of exchanges.
func (t *Table) Len() int { return t.count }

// Bytes returns the size of all exchanges in bytes: EntryCost for each exchange, plus the stored responses.
func (t *Table) Bytes() int { return t.bytes }

// Stats returns the counts since the table was created.
func (t *Table) Stats() Stats { return t.stats }

// evictionOrder is the order of the retentions in which exchanges are evicted: those first that leave nothing to remember.
var evictionOrder = [...]Retention{Evictable, KeepRefusal}

// evictOldest evicts the oldest exchange of the first retention that has one; false if there is none.
func (t *Table) evictOldest(now time.Duration) bool {
	for _, retention := range evictionOrder {
		if oldest := t.evictable[retention].Front(); oldest != nil {
			return t.evict(now, oldest.Value.(*entry))
		}
	}
	return false
}

// evictFromEndpoint evicts the oldest exchange of an endpoint; false if there is none among the maxScan oldest exchanges of
// each retention.
func (t *Table) evictFromEndpoint(now time.Duration, endpoint string) bool {
	for _, retention := range evictionOrder {
		scanned := 0
		for element := t.evictable[retention].Front(); element != nil && scanned < maxScan; element = element.Next() {
			scanned++
			if e := element.Value.(*entry); e.key.Endpoint == endpoint {
				return t.evict(now, e)
			}
		}
	}
	return false
}

// evict removes an exchange before the end of its lifetime. It reports false if a refusal would have to be remembered and there is no
// space for it.
func (t *Table) evict(now time.Duration, e *entry) bool {
	if e.retention == KeepRefusal && !t.refusals.add(now, refusalHash(e.key, e.fingerprint)) {
		return false
	}
	t.stats.Evicted++
	t.remove(e)
	return true
}

// expire removes the exchanges whose lifetime has ended, except those in progress, which still need a response, and the refusals that
// no message can repeat any longer.
func (t *Table) expire(now time.Duration) {
	t.refusals.expire(now)
	for _, entries := range t.expiryLists {
		for element := entries.Front(); element != nil; {
			e := element.Value.(*entry)
			if e.expiresAt > now {
				break
			}
			element = element.Next() // before the element is removed from the list
			if !e.inProgress {
				t.stats.Expired++
				t.remove(e)
			}
		}
	}
}

// insert adds an exchange in progress.
func (t *Table) insert(now time.Duration, m Message) {
	kind, duration := lifetimeOf(m)
	e := &entry{
		key:         m.Key,
		fingerprint: m.Fingerprint,
		older:       t.entries[m.Key],
		inProgress:  true,
		expiresAt:   now + duration,
		lifetime:    kind,
	}
	if m.Idempotent {
		e.retention = Evictable
	}
	e.byExpiry = t.expiryLists[kind].PushBack(e)
	t.entries[m.Key] = e
	t.count++
	t.perEndpoint[m.Endpoint]++
	t.bytes += EntryCost
}

// remove removes an exchange from all maps and lists.
func (t *Table) remove(e *entry) {
	t.unlink(e)
	t.count--
	t.perEndpoint[e.key.Endpoint]--
	if t.perEndpoint[e.key.Endpoint] == 0 {
		delete(t.perEndpoint, e.key.Endpoint)
	}
	t.expiryLists[e.lifetime].Remove(e.byExpiry)
	if e.byCompletion != nil {
		t.evictable[e.retention].Remove(e.byCompletion)
	}
	t.bytes -= e.cost()
}

// unlink removes an exchange from those of its key.
func (t *Table) unlink(e *entry) {
	latest := t.entries[e.key]
	switch {
	case latest == e && e.older == nil:
		delete(t.entries, e.key)
	case latest == e:
		t.entries[e.key] = e.older
	default:
		newer := latest
		for newer.older != e {
			newer = newer.older
		}
		newer.older = e.older
	}
}
