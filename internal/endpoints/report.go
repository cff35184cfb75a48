package endpoints

import (
	"errors"
	"fmt"
	"time"

	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/inventory"
)

// maxLoggedConflicts limits the conflicts logged for one event. Two sources that disagree on every server would otherwise
// flood the log.
const maxLoggedConflicts = 10

// logOutcome logs the result of merging an event.
func (i *Inventory) logOutcome(e sourceEvent, outcome endpointmerge.Outcome) {
	snapshot, isSnapshot := e.event.(endpointmerge.Snapshot)
	if isSnapshot && e.file != nil && len(outcome.Held) == 0 {
		i.log.Info("list file accepted", "code", "inventory_list", "file", e.file.Path, "sha256", snapshot.Revision, "servers", e.servers,
			"changed", len(outcome.Changes), "moving", outcome.Moved)
	}
	i.logHeld(outcome)
	i.logConflicts(outcome.Conflicts)
	if i.stale && !i.view.Stale() {
		i.stale = false
		i.log.Info("all sources have reported; the list no longer depends on saved state", "code", "inventory_fresh", "servers", i.view.Len())
	}
}

// logHeld logs the lists that are newly held or released by an event.
func (i *Inventory) logHeld(outcome endpointmerge.Outcome) {
	for _, held := range outcome.Held {
		i.node.Counters().Inventory.HeldBack.Inc()
		i.log.Error("list held for confirmation: it removes too many servers; keeping the previous list", "code", "inventory_held",
			"source", held.Source, "sha256", held.Revision, "away", held.Removed, "of", held.Total)
	}
	for _, name := range outcome.Released {
		i.log.Info("held list accepted or replaced", "code", "inventory_released", "source", name)
	}
}

// logConflicts counts all new conflicts and logs the first maxLoggedConflicts.
func (i *Inventory) logConflicts(conflicts []endpointmerge.Conflict) {
	i.node.Counters().Inventory.Conflicts.Add(int64(len(conflicts)))
	for _, c := range conflicts[:min(len(conflicts), maxLoggedConflicts)] {
		i.log.Warn("sources disagree on a field", "code", "inventory_conflict", "server", c.ID, "field", c.Field, "taken", c.Chosen,
			"from", c.ChosenSource, "left", c.Rejected, "not", c.RejectedSource)
	}
	if omitted := len(conflicts) - maxLoggedConflicts; omitted > 0 {
		i.log.Warn("further conflicts between sources were not logged", "code", "inventory_conflict", "more", omitted)
	}
}

// logRejected logs the errors in a rejected file, up to inventory.MaxDiagnostics, and the age of the list that stays in use.
func (i *Inventory) logRejected(f *File, err error) {
	var diagnostics *inventory.Diagnostics
	if errors.As(err, &diagnostics) {
		for _, d := range diagnostics.First {
			i.log.Error("error in list file", "code", "inventory_fault", "file", d.File, "line", d.Line, "column", d.Column, "row", d.Row,
				"error", d.Message)
		}
		err = fmt.Errorf("%d errors", diagnostics.Total)
	}
	attrs := []any{"code", "inventory_bad", "file", f.Path, "error", err}
	if accepted, ok := i.lastAcceptedAt[f.source()]; ok {
		attrs = append(attrs, "age_s", int(time.Since(accepted).Seconds()))
	}
	i.log.Error("list file rejected; keeping the last accepted list", attrs...)
}
