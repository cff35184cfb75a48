// Package endpointmerge merges what several sources say of the servers into one view, and tells what of it has changed. It is
// pure: the time and what sources say come in, changes to push go out. It reads no clock, file or socket.
//
// What it guards against is written at each rule below and in docs/inventory.md.
package endpointmerge

import (
	"fmt"
	"sort"

	"tackhub.example/tackhub/internal/inventory"
)

// Millis is a time or a span in milliseconds.
type Millis = float64

// Restored is the source of a view recovered from disk. It holds until every other source has spoken.
const SourceRestored = "state"

// The fields that have a precedence. The phase has none: a server that any source drains is drained, since a drain that
// is not kept breaks a rule and one too many costs a little capacity.
const (
	FieldAddress = "address"
	FieldZone    = "zone"
	FieldPod     = "pod"
	FieldSize    = "size"
)

// Fields are all of them.
var Fields = []string{FieldAddress, FieldZone, FieldPod, FieldSize}

// Settings say how to merge.
type Settings struct {
	Sources         []string            // all that will speak, in the order of their precedence
	FieldPrecedence map[string][]string // by field: another order; sources that it leaves out follow in theirs
	RequiredSources []string            // these must list a server for it to be a member, once they have spoken

	// A list of a guarded source that takes away more than RemoveShare of the members at once, and at least RemoveLeast,
	// is held until it is confirmed, replaced, or borne out by what other sources say.
	GuardedSources  []string
	MaxRemovedShare float64
	MinHeldRemovals int

	// A server whose group (zone and pod) changes gets nothing new for PodHold, under its old group: a keyed request that
	// went there may still be repeated in that group, and one sent meanwhile would be dropped by none. At most MoveShare
	// of the members move at a time; the others wait with their old group, in service.
	PodHold        Millis
	MaxMovingShare float64

	// Tombstone is how long a server that one source has taken away is not raised by a source that says nothing new.
	TombstoneTTL Millis
}

// Event is something a source said, or the time.
type Event interface{ event() }

// Stated is a source's whole list.
type Snapshot struct {
	Source   string
	Revision string
	Servers  []inventory.Server
}

// Changed is what a source changes of its list.
type Delta struct {
	Source   string
	Revision string
	Updated  []inventory.Server
	Removed  []string
}

// Withdrawn is a source that will not speak any more: what it said does not count, and takes nothing away.
type Withdrawn struct{ Source string }

// Confirmed lets a held list pass, now or when it comes.
type Confirmed struct{ Source, Revision string }

// Tick is the time alone.
type Tick struct{}

func (Snapshot) event()  {}
func (Delta) event()     {}
func (Withdrawn) event() {}
func (Confirmed) event() {}
func (Tick) event()      {}

// Entry is one server as it is to be pushed.
type Entry struct {
	ID       string
	Address  string
	Zone     string
	Cell     int // a number for the pod; the same number is the same pod for as long as this view lives
	Size     float64
	Draining bool
	Removed  bool
	Started  Millis
}

// Member is one server of the view.
type Member struct {
	inventory.Server
	FieldSources map[string]string `json:"from"`             // which source each field came from
	MovingTo     string            `json:"moving,omitempty"` // the group it will have; until then it has its old one
}

// Conflict is a field on which two sources that speak of it differ.
type Conflict struct {
	ID, Field                    string
	Chosen, Rejected             string // values
	ChosenSource, RejectedSource string // sources
}

// String is the conflict as a line.
func (c Conflict) String() string {
	return fmt.Sprintf("%s: %s is %q by %s, not %q by %s", c.ID, c.Field, c.Chosen, c.ChosenSource, c.Rejected, c.RejectedSource)
}

// Held is a list that waits for confirmation.
type HeldList struct {
	Source, Revision string
	Removed, Total   int // members that it would take away, of how many
}

// Outcome is what a step brought about.
type Outcome struct {
	Changes      []Entry
	Spoke        bool // some source said something, though perhaps nothing new
	Held         []HeldList
	Released     []string   // sources whose held list passed or was replaced
	Conflicts    []Conflict // new ones
	MovesStarted int        // servers that have begun to change their group
	NextTick     Millis     // when a Tick is due; 0: none
}

// conflictsKept bounds what is remembered of conflicts, which grow with the fleet.
const conflictsKept = 1000

// source is one source's last word.
type source struct {
	rank     int
	spoken   bool
	revision string
	servers  map[string]inventory.Server
	at       map[string]Millis // when it last spoke of a server
}

// tomb is a server that a source has taken away.
type tomb map[string]Millis // by source: when

// member is a member with what moving it needs.
type member struct {
	Member
	cell  int
	until Millis // while it moves: when it may have its new group
	queue bool   // it waits for its turn to move
	next  group
}

type group struct{ zone, pod string }

// View is the merged view.
type View struct {
	set       Settings
	sources   map[string]*source
	tombs     map[string]tomb
	members   map[string]*member
	orders    map[string][]string        // by field
	wants     map[string]string          // by id: the address it would have
	claims    map[string]map[string]bool // by address: ids that would have it
	pushed    map[string]Entry
	touched   map[string]bool    // members that may differ from what was pushed
	movers    map[string]*member // that move or wait to
	cells     map[string]int     // by pod
	podOf     map[int]string     // by cell
	nextCell  int
	held      map[string]Snapshot
	told      map[string]string // by source: the revision of the held list that was told
	confirmed map[string]string // by source: a revision that may pass
	conflicts map[string]Conflict
	moving    int
	settled   bool   // the first view is whole: what comes now is new
	began     Millis // the first event's time
	now       Millis
}

// New makes an empty view.
func New(s Settings) *View {
	v := &View{set: s, sources: map[string]*source{}, tombs: map[string]tomb{}, members: map[string]*member{},
		orders: map[string][]string{}, wants: map[string]string{}, touched: map[string]bool{}, movers: map[string]*member{},
		podOf: map[int]string{}, claims: map[string]map[string]bool{}, pushed: map[string]Entry{}, cells: map[string]int{}, held: map[string]Snapshot{},
		told: map[string]string{}, confirmed: map[string]string{}, conflicts: map[string]Conflict{}}
	for i, name := range s.Sources {
		v.sources[name] = &source{rank: i, servers: map[string]inventory.Server{}, at: map[string]Millis{}}
	}
	v.sources[SourceRestored] = &source{rank: len(s.Sources), servers: map[string]inventory.Server{}, at: map[string]Millis{}}
	for _, field := range append([]string{""}, Fields...) {
		v.orders[field] = v.order(field)
	}
	return v
}

// settleFor is how long after the first event the first view is waited for: a source that never speaks must not make
// every later newcomer pass for a server that has long been warm.
const settleFor = 5000

// Step takes one event.
func (v *View) Step(now Millis, e Event) Outcome {
	v.now = now
	if v.began == 0 {
		v.began = now
	}
	var out Outcome
	dirty := map[string]bool{}
	switch e := e.(type) {
	case Snapshot:
		v.stated(e, dirty, &out)
	case Delta:
		v.changed(e, dirty, &out)
	case Withdrawn:
		v.withdrawn(e.Source, dirty)
	case Confirmed:
		v.confirmed[e.Source] = e.Revision
	}
	v.forgetRestored(dirty)
	v.merge(dirty, &out)
	freed := map[string]bool{} // what is held is judged by the view as it is by now
	v.release(freed, &out)
	v.forgetRestored(freed)
	v.merge(freed, &out)
	v.move(&out)
	v.push(&out)
	v.settled = v.settled || v.allSpoke() || v.Stale() || now-v.began >= settleFor
	return out
}

func (v *View) allSpoke() bool { return len(v.PendingSources()) == 0 }

// Silent are the sources that have not spoken yet.
func (v *View) PendingSources() []string {
	var out []string
	for _, name := range v.set.Sources {
		if !v.sources[name].spoken {
			out = append(out, name)
		}
	}
	return out
}

// stated takes a whole list, or holds it.
func (v *View) stated(e Snapshot, dirty map[string]bool, out *Outcome) {
	s := v.sources[e.Source]
	if s == nil {
		return
	}
	out.Spoke = true
	was, held := v.held[e.Source]
	delete(v.held, e.Source)
	tooMuch := v.tooMuch(e)
	if held && !(tooMuch && was.Revision == e.Revision) { // read again as it was, it is still held
		out.Released = append(out.Released, e.Source)
	}
	if tooMuch {
		v.held[e.Source] = e
		return
	}
	v.take(e, dirty)
}

// take makes a whole list a source's word.
func (v *View) take(e Snapshot, dirty map[string]bool) {
	s := v.sources[e.Source]
	now := map[string]inventory.Server{}
	for _, server := range e.Servers {
		now[server.ID] = server
		dirty[server.ID] = true
		s.at[server.ID] = v.now
		v.raised(e.Source, server.ID)
	}
	for id := range s.servers {
		if _, still := now[id]; !still {
			v.away(e.Source, id)
			dirty[id] = true
		}
	}
	if !s.spoken && contains(v.set.RequiredSources, e.Source) { // from now on it takes away what it does not list
		for id := range v.members {
			dirty[id] = true
		}
	}
	s.spoken, s.revision, s.servers = true, e.Revision, now
	for id := range v.tombs { // it may have spoken after a tombstone's time
		dirty[id] = true
	}
}

func (v *View) changed(e Delta, dirty map[string]bool, out *Outcome) {
	s := v.sources[e.Source]
	if s == nil {
		return
	}
	out.Spoke = true
	s.revision = e.Revision
	for _, server := range e.Updated {
		s.servers[server.ID] = server
		s.at[server.ID] = v.now
		dirty[server.ID] = true
		v.raised(e.Source, server.ID)
	}
	for _, id := range e.Removed {
		if _, had := s.servers[id]; had {
			delete(s.servers, id)
			v.away(e.Source, id)
			dirty[id] = true
		}
	}
}

func (v *View) withdrawn(name string, dirty map[string]bool) {
	s := v.sources[name]
	if s == nil {
		return
	}
	for id := range s.servers {
		dirty[id] = true
	}
	for id, t := range v.tombs {
		delete(t, name)
		dirty[id] = true
	}
	s.spoken, s.revision, s.servers, s.at = false, "", map[string]inventory.Server{}, map[string]Millis{}
	delete(v.held, name)
}

// away notes that a source has taken a server away, where another still lists it.
func (v *View) away(by, id string) {
	delete(v.sources[by].at, id)
	for name, s := range v.sources {
		if _, lists := s.servers[id]; lists && name != by {
			if v.tombs[id] == nil {
				v.tombs[id] = tomb{}
			}
			v.tombs[id][by] = v.now
			return
		}
	}
}

// raised ends a source's own tombstone.
func (v *View) raised(by, id string) {
	if t := v.tombs[id]; t != nil {
		delete(t, by)
		if len(t) == 0 {
			delete(v.tombs, id)
		}
	}
}

// tooMuch tells whether a list takes away more than a share of the members at once. It guards against a list that was
// made from half of its own source, which reads well.
func (v *View) tooMuch(e Snapshot) bool {
	if !contains(v.set.GuardedSources, e.Source) || v.confirmed[e.Source] == e.Revision || v.set.MaxRemovedShare <= 0 {
		return false
	}
	away, of := v.takesAway(e)
	return away >= max(1, v.set.MinHeldRemovals) && float64(away) > v.set.MaxRemovedShare*float64(of)
}

// takesAway counts the members in service that a list would take out of it.
func (v *View) takesAway(e Snapshot) (away, of int) {
	s, next := v.sources[e.Source], map[string]inventory.Phase{}
	for _, server := range e.Servers {
		next[server.ID] = server.Phase
	}
	for id, m := range v.members {
		if m.Phase == inventory.Draining {
			continue
		}
		of++
		_, listed := s.servers[id]
		if !s.spoken {
			_, listed = v.sources[SourceRestored].servers[id]
			listed = listed || contains(v.set.RequiredSources, e.Source)
		}
		if phase, ok := next[id]; listed && (!ok || phase == inventory.Draining) {
			away++
		}
	}
	return away, of
}

// release lets held lists pass that were confirmed, or that take away little by now, and tells of those still held.
func (v *View) release(dirty map[string]bool, out *Outcome) {
	for _, name := range v.set.Sources {
		e, ok := v.held[name]
		if !ok {
			delete(v.told, name)
			continue
		}
		if !v.tooMuch(e) {
			delete(v.held, name)
			delete(v.told, name)
			out.Released = append(out.Released, name)
			v.take(e, dirty)
			continue
		}
		if v.told[name] != e.Revision {
			v.told[name] = e.Revision
			away, of := v.takesAway(e)
			out.Held = append(out.Held, HeldList{name, e.Revision, away, of})
		}
	}
}

// forgetRestored drops the recovered view once every source has spoken for itself.
func (v *View) forgetRestored(dirty map[string]bool) {
	if len(v.sources[SourceRestored].servers) == 0 {
		return
	}
	if v.allSpoke() {
		v.withdrawn(SourceRestored, dirty)
	}
}

// Stale tells whether the view still leans on what was recovered from disk.
func (v *View) Stale() bool { return len(v.sources[SourceRestored].servers) > 0 }

// Revisions are the sources' last revisions, of those that have spoken.
func (v *View) Revisions() map[string]string {
	out := map[string]string{}
	for name, s := range v.sources {
		if s.spoken && name != SourceRestored {
			out[name] = s.revision
		}
	}
	return out
}

// Members are the view, by id.
func (v *View) Members() []Member {
	out := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Len is the number of members.
func (v *View) Len() int { return len(v.members) }

// Conflicts are those that stand, by id and field.
func (v *View) Conflicts() []Conflict {
	out := make([]Conflict, 0, len(v.conflicts))
	for _, c := range v.conflicts {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID+" "+out[i].Field < out[j].ID+" "+out[j].Field })
	return out
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
