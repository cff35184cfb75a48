package endpointmerge

import (
	"fmt"
	"sort"
)

// maxConflicts limits the recorded conflicts, whose number would otherwise grow with the number of servers.
const maxConflicts = 1000

// String returns the conflict as one line.
func (c Conflict) String() string {
	return fmt.Sprintf("%s: %s is %q from %s, not %q from %s", c.ID, c.Field, c.Chosen, c.ChosenSource, c.Rejected, c.RejectedSource)
}

func conflictKey(id, field string) string { return id + " " + field }

// recordConflict records a conflict, and adds it to the outcome if it is new or has changed. A new conflict beyond maxConflicts
// is dropped.
func (v *View) recordConflict(c Conflict, out *Outcome) {
	key := conflictKey(c.ID, c.Field)
	before, known := v.conflicts[key]
	if known && before == c {
		return
	}
	if known || len(v.conflicts) < maxConflicts {
		v.conflicts[key] = c
		out.Conflicts = append(out.Conflicts, c)
	}
}

// clearConflicts deletes the recorded conflicts of a server.
func (v *View) clearConflicts(id string) {
	for _, field := range Fields {
		delete(v.conflicts, conflictKey(id, field))
	}
}

// Conflicts returns the current conflicts, sorted by id and field.
func (v *View) Conflicts() []Conflict {
	conflicts := make([]Conflict, 0, len(v.conflicts))
	for _, c := range v.conflicts {
		conflicts = append(conflicts, c)
	}
	sort.Slice(conflicts, func(i, j int) bool {
		a, b := conflicts[i], conflicts[j]
		return conflictKey(a.ID, a.Field) < conflictKey(b.ID, b.Field)
	})
	return conflicts
}
