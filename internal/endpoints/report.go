package endpoints

import (
	"errors"
	"fmt"
	"time"

	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/inventory"
)

// maxLoggedConflicts bounds the log lines of one event: two sources that disagree on every server would fill the log.
const maxLoggedConflicts = 10

// logOutcome logs what came of an event.
func (i *Inventory) logOutcome(e sourceEvent, outcome endpointmerge.Outcome) {
	snapshot, isSnapshot := e.event.(endpointmerge.Snapshot)
	if isSnapshot && e.file != nil && len(outcome.Held) == 0 {
		i.log.Info("a list was taken", "code", "inventory_list", "file", e.file.Path, "sha256", snapshot.Revision, "servers", e.servers,
			"changed", len(outcome.Changes), "moving", outcome.MovesStarted)
	}
	i.logHeld(outcome)
	i.logConflicts(outcome.Conflicts)
	if i.stale && !i.view.Stale() {
		i.stale = false
		i.log.Info("every source has reported: the list is fresh", "code", "inventory_fresh", "servers", i.view.Len())
	}
}

// logHeld logs the lists that are held since this event, and those that no longer are.
func (i *Inventory) logHeld(outcome endpointmerge.Outcome) {
	for _, h := range outcome.Held {
		i.node.Counters().Inventory.Held.Inc()
		i.log.Error("a list that removes too many servers is held; keeping the last good one", "code", "inventory_held", "source", h.Source,
			"sha256", h.Revision, "away", h.Removed, "of", h.Total)
	}
	for _, name := range outcome.Released {
		i.log.Info("a held list passed or was replaced", "code", "inventory_released", "source", name)
	}
}

// logConflicts counts all new conflicts and logs the first of them.
func (i *Inventory) logConflicts(conflicts []endpointmerge.Conflict) {
	i.node.Counters().Inventory.Conflicts.Add(int64(len(conflicts)))
	for _, c := range conflicts[:min(len(conflicts), maxLoggedConflicts)] {
		i.log.Warn("sources differ", "code", "inventory_conflict", "server", c.ID, "field", c.Field, "taken", c.Chosen, "from", c.ChosenSource,
			"left", c.Rejected, "not", c.RejectedSource)
	}
	if more := len(conflicts) - maxLoggedConflicts; more > 0 {
		i.log.Warn("sources differ on more", "code", "inventory_conflict", "more", more)
	}
}

// logRejected logs each error in a file that was not taken, and how old the list is that stays in use.
func (i *Inventory) logRejected(f *File, err error) {
	var diagnostics *inventory.Diagnostics
	if errors.As(err, &diagnostics) {
		for _, d := range diagnostics.First {
			i.log.Error("error in a list", "code", "inventory_fault", "file", d.File, "line", d.Line, "column", d.Column, "row", d.Row,
				"error", d.Message)
		}
		err = fmt.Errorf("%d faults", diagnostics.Total)
	}
	attrs := []any{"code", "inventory_bad", "file", f.Path, "error", err}
	if at, ok := i.lastGood[f.source()]; ok {
		attrs = append(attrs, "age_s", int(time.Since(at).Seconds()))
	}
	i.log.Error("a list was rejected; keeping the last good one", attrs...)
}
