package inventory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ChangeKind is a kind of difference.
type ChangeKind string

// The kinds.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two lists.
type Change struct {
	Kind     ChangeKind
	ID       string
	Field    string // of a changed server, as are its values
	From, To string
}

// String is the difference as one line.
func (c Change) String() string {
	if c.Kind != Changed {
		return string(c.Kind) + " " + c.ID
	}
	return fmt.Sprintf("changed %s: %s from %q to %q", c.ID, c.Field, c.From, c.To)
}

// Diff returns what makes the second list of the first, by id.
func Diff(before, after []Server) []Change {
	old, oldIDs := byID(before)
	current, currentIDs := byID(after)
	ids := slices.Compact(slices.Sorted(slices.Values(append(oldIDs, currentIDs...))))
	var changes []Change
	for _, id := range ids {
		was, existed := old[id]
		is, exists := current[id]
		switch {
		case !existed:
			changes = append(changes, Change{Kind: Added, ID: id})
		case !exists:
			changes = append(changes, Change{Kind: Removed, ID: id})
		default:
			changes = append(changes, diffServer(was, is)...)
		}
	}
	return changes
}

// byID returns servers by their id, and the ids.
func byID(servers []Server) (map[string]Server, []string) {
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
