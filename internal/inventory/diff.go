package inventory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ChangeKind is the kind of a change.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one change from a list to another.
type Change struct {
	Kind     ChangeKind
	ID       string
	Field    string // changed field; like From and To, only set for Changed
	From, To string
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Kind != Changed {
		return string(c.Kind) + " " + c.ID
	}
	return fmt.Sprintf("changed %s: %s from %q to %q", c.ID, c.Field, c.From, c.To)
}

// Diff returns the changes from the first list to the second, sorted by server id.
func Diff(before, after []Server) []Change {
	old, oldIDs := indexByID(before)
	current, currentIDs := indexByID(after)
	ids := slices.Compact(slices.Sorted(slices.Values(append(oldIDs, currentIDs...))))
	var changes []Change
	for _, id := range ids {
		oldServer, existed := old[id]
		newServer, exists := current[id]
		switch {
		case !existed:
			changes = append(changes, Change{Kind: Added, ID: id})
		case !exists:
			changes = append(changes, Change{Kind: Removed, ID: id})
		default:
			changes = append(changes, diffServer(oldServer, newServer)...)
		}
	}
	return changes
}

// indexByID returns the servers by id, and the ids in no particular order.
func indexByID(servers []Server) (map[string]Server, []string) {
	index := make(map[string]Server, len(servers))
	for _, s := range servers {
		index[s.ID] = s
	}
	return index, slices.Collect(maps.Keys(index))
}

// diffServer returns the fields in which two versions of a server differ.
func diffServer(before, after Server) []Change {
	var changes []Change
	compare := func(field, from, to string) {
		if from != to {
			changes = append(changes, Change{Kind: Changed, ID: before.ID, Field: field, From: from, To: to})
		}
	}
	compare(fieldAddress, before.Address, after.Address)
	compare(fieldZone, before.Zone, after.Zone)
	compare(fieldPod, before.Pod, after.Pod)
	compare(fieldSize, formatSize(before.Size), formatSize(after.Size))
	compare(fieldPhase, string(before.Phase), string(after.Phase))
	compare(fieldTags, strings.Join(before.Tags, tagSeparator), strings.Join(after.Tags, tagSeparator))
	for _, name := range extraFields([]Server{before, after}) {
		compare(name, before.Extra[name], after.Extra[name])
	}
	return changes
}
