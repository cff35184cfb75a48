package endpoints

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/inventory"
)

// Name and version of the saved state in its files.
const (
	stateName    = "inventory"
	stateVersion = 1
)

// SavedState is the view as saved on disk in JSON.
type SavedState struct {
	Saved     time.Time              `json:"saved"`
	Revisions map[string]string      `json:"revisions"` // by source
	Members   []endpointmerge.Member `json:"members"`
}

// restore initializes the view from the predecessor's view, or from the state that an earlier process saved. Both count as
// complete, so the first list is published without waiting for the sources.
func (i *Inventory) restore() {
	if i.predecessor != nil && i.predecessor.published {
		i.allowPartialList = true
		i.restoreMembers("running", true, i.predecessor.view.Members())
		i.predecessor = nil
		return
	}
	if i.store == nil {
		return
	}
	state, err := i.loadState()
	if err != nil {
		i.log.Info("no usable saved state", "code", "state_none", "error", err)
		return
	}
	i.stale = true
	i.allowPartialList = true
	i.log.Warn("serving from the saved list until every source has reported", "code", "inventory_stale", "servers", len(state.Members),
		"age_s", int(time.Since(state.Saved).Seconds()))
	i.restoreMembers("saved", false, state.Members)
}

// loadState reads the newest usable state and logs the files that it skipped.
func (i *Inventory) loadState() (SavedState, error) {
	data, skipped, err := i.store.Load()
	for _, s := range skipped {
		i.log.Warn("skipped unusable saved state", "code", "state_skipped", "file", s.File, "error", s.Err)
	}
	var state SavedState
	if err == nil {
		err = json.Unmarshal(data, &state)
	}
	return state, err
}

// restoreMembers adds members to the view as a restored list. Current reports that they are those of the view before this one. It runs before the directory is attached; the next event publishes
// the members.
func (i *Inventory) restoreMembers(revision string, current bool, members []endpointmerge.Member) {
	servers := make([]inventory.Server, 0, len(members))
	origins := make(map[string][]string, len(members))
	for _, m := range members {
		servers = append(servers, m.Server)
		if slices.Contains(slices.Collect(maps.Values(m.FieldSources)), sourceDiscovery) { // a file's removals are not told to this process
			origins[m.ID] = []string{sourceDiscovery}
		}
	}
	i.view.Step(i.node.Clock().Now(), endpointmerge.Snapshot{Source: endpointmerge.SourceRestored, Revision: revision, Servers: servers,
		Origins: origins, Current: current})
}

// save writes the view to disk if it has changed. Consecutive failures, as on a full or read-only disk, are logged once, and
// serving continues.
func (i *Inventory) save() {
	if i.store == nil || !i.unsaved {
		return
	}
	count := &i.node.Counters().Inventory
	if err := i.writeState(); err != nil {
		count.SaveFailures.Inc()
		if !i.saveFailing {
			i.saveFailing = true
			i.log.Error("failed to save the list; serving continues", "code", "state_failed", "error", err)
		}
		return
	}
	count.Saves.Inc()
	if i.saveFailing {
		i.log.Info("saving the list succeeded again", "code", "state_saved")
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
