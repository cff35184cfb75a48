// Package endpointmerge merges the server lists of several sources into one list and returns its changes. It performs no I/O and
// reads no clock: the time and the sources' events are passed in, and the changes to publish are returned.
//
// docs/inventory.md lists the failures that it guards against. The comment on each rule names the
// failure that the rule prevents.
package endpointmerge

import "sort"

// initialListTimeout is the time after the first event at which the initial list counts as complete even if some sources have
// not reported. New servers then count as just started. Without the timeout, a source that never reports would let servers that
// start later skip slow start.
const initialListTimeout Millis = 5000

// idSet is a set of server ids.
type idSet map[string]bool

// View is the merged list. It is not safe for concurrent use.
type View struct {
	settings Settings
	sources  map[string]*source

	restoredOrigins   map[string][]string // by server id: the sources from which the restored list has it
	restoredIsCurrent bool                // the restored list is that of the view before this one, not of an earlier process

	tombstones tombstones
	held       heldLists
	precedence map[string][]string // by field: sources, highest precedence first; "" for fields without a precedence of their own
	conflicts  map[string]Conflict // current conflicts, by conflictKey
	addresses  addressClaims
	members    map[string]*member
	groups     *DedupGroups

	published map[string]Entry // by id
	dirtyIDs  idSet            // members whose published entry may be outdated

	initialListComplete bool   // from now on, new servers count as just started
	firstEventTime      Millis // 0: no event yet
	now                 Millis // time of the last event
}

// New returns an empty view with groups of its own.
func New(s Settings) *View { return NewWithGroups(s, NewDedupGroups()) }

// NewWithGroups returns an empty view that continues the assignment of cells of the view before it.
func NewWithGroups(s Settings, groups *DedupGroups) *View {
	v := &View{
		settings:   s,
		sources:    map[string]*source{},
		tombstones: tombstones{},
		held:       newHeldLists(),
		precedence: map[string][]string{},
		conflicts:  map[string]Conflict{},
		addresses:  newAddressClaims(),
		members:    map[string]*member{},
		groups:     groups,
		published:  map[string]Entry{},
		dirtyIDs:   idSet{},
	}
	for _, name := range s.Sources {
		v.sources[name] = newSource()
	}
	v.sources[SourceRestored] = newSource()
	for _, field := range append([]string{""}, Fields...) {
		v.precedence[field] = v.precedenceOf(field)
	}
	return v
}

// Step handles one event at a time now and returns its outcome.
func (v *View) Step(now Millis, e Event) Outcome {
	v.now = now
	if v.firstEventTime == 0 {
		v.firstEventTime = now
	}
	var out Outcome
	changed := idSet{}
	v.handle(e, changed, &out)
	v.dropRestored(changed)
	v.merge(changed, &out)
	// Held lists are checked again against the view after the event.
	released := idSet{}
	v.releaseHeld(released, &out)
	v.dropRestored(released)
	v.merge(released, &out)
	v.publishChanges(&out)
	v.groups.prune(v.members)
	timedOut := now-v.firstEventTime >= initialListTimeout
	v.initialListComplete = v.initialListComplete || v.allReported() || v.Stale() || timedOut
	return out
}

// handle applies an event to its source, and adds the servers that it may change to changed.
func (v *View) handle(e Event, changed idSet, out *Outcome) {
	switch e := e.(type) {
	case Snapshot:
		v.handleSnapshot(e, changed, out)
	case Delta:
		v.handleDelta(e, changed)
	case Withdrawn:
		v.withdraw(e.Source, changed)
	case Confirmed:
		v.held.confirmed[e.Source] = e.Revision
	case Tick:
	}
}

// PendingSources returns the sources that have not reported yet, highest precedence first.
func (v *View) PendingSources() []string {
	var pending []string
	for _, name := range v.settings.Sources {
		if !v.sources[name].reported {
			pending = append(pending, name)
		}
	}
	return pending
}

func (v *View) allReported() bool { return len(v.PendingSources()) == 0 }

// Stale reports whether the view still depends on servers restored from disk.
func (v *View) Stale() bool { return len(v.sources[SourceRestored].servers) > 0 }

// Revisions returns the last revision of each source that has reported.
func (v *View) Revisions() map[string]string {
	revisions := map[string]string{}
	for name, s := range v.sources {
		if s.reported && name != SourceRestored {
			revisions[name] = s.revision
		}
	}
	return revisions
}

// Members returns the merged list, sorted by id.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		members = append(members, m.Member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Len returns the number of members.
func (v *View) Len() int { return len(v.members) }
