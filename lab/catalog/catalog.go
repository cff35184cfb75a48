// Package catalog models the endpoint list of the discovery service, and answers calls in every form that the protocol allows: whole
// lists or changes, entries in any order, empty lists, and the variants of JSON. It does no I/O. The lab's discovery service and the
// tests of the discovery client answer by it.
package catalog

import (
	"math/rand/v2"
	"slices"
)

// Phases of a member.
const (
	PhaseServing  = "SERVING"
	PhaseDraining = "DRAINING"
	PhaseDeleted  = "DELETED" // among changes only
)

// Member is one server of the list as encoded in JSON.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"` // Unix time in milliseconds; 0: long ago
}

// change is a changed member and the revision that it created.
type change struct {
	revision int64
	member   Member
}

// Catalog is the list of one discovery service. It is not safe for concurrent use.
type Catalog struct {
	rng      *rand.Rand
	revision int64
	lowest   int64 // the lowest revision so far
	since    int64 // the oldest revision from which all changes are known
	members  []Member
	changes  []change
	named    map[string]bool // ids of all servers that were ever listed
}

// New returns a catalog with a list of the given revision. The seed determines the forms of its answers.
func New(revision int64, members []Member, seed uint64) *Catalog {
	c := &Catalog{
		rng:      rand.New(rand.NewPCG(seed, 0xca7a)),
		revision: revision,
		lowest:   revision,
		since:    revision,
		members:  slices.Clone(members),
		named:    map[string]bool{},
	}
	for _, m := range members {
		c.named[m.ID] = true
	}
	return c
}

// Revision returns the current revision.
func (c *Catalog) Revision() int64 { return c.revision }

// Members returns the current list.
func (c *Catalog) Members() []Member { return slices.Clone(c.members) }

// Apply makes changes, which together create one revision. A member that takes over the address of another one replaces it.
func (c *Catalog) Apply(members ...Member) {
	c.revision++
	for _, m := range members {
		c.named[m.ID] = true
		c.removeOtherAt(m)
		c.changes = append(c.changes, change{c.revision, m})
		c.set(m)
	}
}

// removeOtherAt deletes the member whose address another member takes over.
func (c *Catalog) removeOtherAt(m Member) {
	if m.Phase == PhaseDeleted || m.HostPort == "" {
		return
	}
	for _, other := range c.members {
		if other.HostPort == m.HostPort && other.ID != m.ID {
			other.Phase = PhaseDeleted
			c.changes = append(c.changes, change{c.revision, other})
			c.set(other)
			return
		}
	}
}

// set adds, replaces or deletes a member of the current list.
func (c *Catalog) set(m Member) {
	i := slices.IndexFunc(c.members, func(other Member) bool { return other.ID == m.ID })
	switch {
	case m.Phase == PhaseDeleted && i >= 0:
		c.members = slices.Delete(c.members, i, i+1)
	case m.Phase == PhaseDeleted:
	case i >= 0:
		c.members[i] = m
	default:
		c.members = append(c.members, m)
	}
}

// Restart makes the service forget its changes and count its revisions anew, from a lower one than any before. A revision that a
// client has seen must not occur again with another list: the client could not tell the two apart.
func (c *Catalog) Restart() {
	c.lowest /= 2
	c.revision = c.lowest
	c.since = c.lowest
	c.changes = nil
}

// changesSince returns the latest entry of each server that has changed since a revision. It returns false if the changes are not
// known, which is the case for revisions of the future and for those before a restart.
func (c *Catalog) changesSince(revision int64) ([]Member, bool) {
	if revision > c.revision || revision < c.since {
		return nil, false
	}
	var members []Member
	for _, changed := range c.changes {
		if changed.revision <= revision {
			continue
		}
		if i := slices.IndexFunc(members, func(m Member) bool { return m.ID == changed.member.ID }); i >= 0 {
			members[i] = changed.member
			continue
		}
		members = append(members, changed.member)
	}
	return members, true
}

// withdrawn returns the servers that were once listed and are not among the given members, as deleted ones.
func (c *Catalog) withdrawn(listed []Member) []Member {
	var out []Member
	for id := range c.named {
		if !slices.ContainsFunc(listed, func(m Member) bool { return m.ID == id }) {
			out = append(out, Member{ID: id, Phase: PhaseDeleted})
		}
	}
	return out
}
