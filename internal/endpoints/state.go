package endpoints

import (
	"encoding/json"
	"time"

	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/inventory"
)

// The saved state's name and version in its files.
const (
	stateName    = "inventory"
	stateVersion = 1
)

// SavedState is the view as it is kept on disk, in JSON.
type SavedState struct {
	Saved     time.Time              `json:"saved"`
	Revisions map[string]string      `json:"revisions"` // by source
	Members   []endpointmerge.Member `json:"members"`
}

// restore starts with the view of the predecessor, or with the one that an earlier process has saved. Either is complete, so
// that the first list need not wait for the sources.
func (i *Inventory) restore() {
	if i.predecessor != nil && i.predecessor.published {
		i.mayBePartial = true
		i.startWith("running", i.predecessor.view.Members())
		i.predecessor = nil
		return
	}
	if i.store == nil {
		return
	}
	state, err := i.loadState()
	if err != nil {
		i.log.Info("no saved state to start with", "code", "state_none", "error", err)
		return
	}
	i.stale = true
	i.mayBePartial = true
	i.log.Warn("serving from the saved list until every source has reported", "code", "inventory_stale", "servers", len(state.Members),
		"age_s", int(time.Since(state.Saved).Seconds()))
	i.startWith("saved", state.Members)
}

// loadState reads the newest usable state and logs what was skipped.
func (i *Inventory) loadState() (SavedState, error) {
	data, skipped, err := i.store.Load()
	for _, s := range skipped {
		i.log.Warn("skipped a saved state that cannot be used", "code", "state_skipped", "file", s.File, "error", s.Err)
	}
	var state SavedState
	if err == nil {
		err = json.Unmarshal(data, &state)
	}
	return state, err
}

// startWith makes members the restored part of the view, before the directory is attached. The next event publishes them.
func (i *Inventory) startWith(revision string, members []endpointmerge.Member) {
	servers := make([]inventory.Server, 0, len(members))
	for _, m := range members {
		servers = append(servers, m.Server)
	}
	i.view.Step(i.node.Clock().Now(), endpointmerge.Snapshot{Source: endpointmerge.SourceRestored, Revision: revision, Servers: servers})
}

// save writes the view if it has changed. A disk that is full or read-only is logged once, and serving continues.
func (i *Inventory) save() {
	if i.store == nil || !i.unsaved {
		return
	}
	count := &i.node.Counters().Inventory
	if err := i.writeState(); err != nil {
		count.SaveFailures.Inc()
		if !i.saveFailing {
			i.saveFailing = true
			i.log.Error("the list cannot be saved; serving continues", "code", "state_failed", "error", err)
		}
		return
	}
	count.Saves.Inc()
	if i.saveFailing {
		i.log.Info("the list is saved again", "code", "state_saved")
	}
	i.unsaved = false
	i.saveFailing = false
}

func (i *Inventory) writeState() error {
	data, err := json.Marshal(SavedState{Saved: time.Now().UTC(), Revisions: i.view.Revisions(), Members: i.view.Members()})
	if err != nil {
		return err
	}
	return i.store.Save(data)
}
