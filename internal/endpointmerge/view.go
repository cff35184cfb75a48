// Package endpointmerge merges the lists of servers of several sources into one, and reports what changes in it. It is pure:
// the time and the sources' events are passed in, the changes to publish are returned. It reads no clock, file or socket.
//
// docs/inventory.md lists the failures that it guards against; each rule below names its own.
package endpointmerge

import "sort"

// initialListTimeout is how long after the first event the view waits for all sources before it takes new servers for just started.
// A source that never reports must not have servers that start later pass for warm ones.
const initialListTimeout Millis = 5000

// idSet is a set of server ids.
type idSet map[string]bool

// View is the merged list. It is not safe for concurrent use.
type View struct {
	settings Settings
	sources  map[string]*source

	tombstones   tombstones
	held         heldLists
	precedence   map[string][]string // by field; "" for fields without a precedence of their own
	conflicts    map[string]Conflict // that exist now, by conflictKey
	addresses    addressClaims
	members      map[string]*member
	pods         podNumbers
	movingCount  int                // members that are moving to another group
	pendingMoves map[string]*member // members that are moving or queued to move, by id

	published map[string]Entry // by id
	dirtyIDs  idSet            // members that may differ from what was published

	initialListComplete bool   // the first list is complete: servers that come now have just started
	firstEventTime      Millis // time of the first event; 0: there was none
	now                 Millis // time of the last event
}

// New returns an empty view.
func New(s Settings) *View {
	v := &View{
		settings:     s,
		sources:      map[string]*source{},
		tombstones:   tombstones{},
		held:         newHeldLists(),
		precedence:   map[string][]string{},
		conflicts:    map[string]Conflict{},
		addresses:    newAddressClaims(),
		members:      map[string]*member{},
		pods:         newPodNumbers(),
		pendingMoves: map[string]*member{},
		published:    map[string]Entry{},
		dirtyIDs:     idSet{},
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

// Step handles one event.
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
	// Held lists are judged by the view as it is after the event.
	released := idSet{}
	v.releaseHeld(released, &out)
	v.dropRestored(released)
	v.merge(released, &out)
	v.advanceMoves(&out)
	v.publishChanges(&out)
	waitedEnough := now-v.firstEventTime >= initialListTimeout
	v.initialListComplete = v.initialListComplete || v.allReported() || v.Stale() || waitedEnough
	return out
}

// handle applies an event to its source, and notes the servers that it may change.
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

// PendingSources are the sources that have not reported yet, by precedence.
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

// Stale reports whether the view still depends on what was restored from disk.
func (v *View) Stale() bool { return len(v.sources[SourceRestored].servers) > 0 }

// Revisions are the last revisions of the sources that have reported.
func (v *View) Revisions() map[string]string {
	revisions := map[string]string{}
	for name, s := range v.sources {
		if s.reported && name != SourceRestored {
			revisions[name] = s.revision
		}
	}
	return revisions
}

// Members is the merged list, by id.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		members = append(members, m.Member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Len is the number of members.
func (v *View) Len() int { return len(v.members) }
