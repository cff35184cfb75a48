package savedlist

import (
	"encoding/json"
	"time"

	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/statefile"
)

// Name and version of the saved list in its files.
const (
	stateName    = "discovery-list"
	stateVersion = 1
)

// state is a saved list.
type state struct {
	Saved     time.Time      `json:"saved"`
	Discovery string         `json:"discovery"` // address of the service that wrote the list
	List      discovery.List `json:"list"`
}

func newStore(dir string) *statefile.Store {
	return statefile.New(statefile.OS{}, dir, stateName, stateVersion)
}

// restore replaces the list of the configuration with the saved one, if that is of the same discovery service and was saved after the
// configuration was written.
func (k *keeper) restore() {
	saved, err := k.load()
	if err != nil {
		k.log.Info("no saved endpoint list", "code", "list_unsaved", "error", err)
		return
	}
	attrs := []any{"code", "list_restored", "revision", saved.List.Revision, "servers", len(saved.List.Members),
		"age_s", int(time.Since(saved.Saved).Seconds())}
	switch {
	case saved.Discovery != k.node.DiscoveryAddress():
		k.log.Info("the saved endpoint list is not used: another discovery service wrote it", attrs...)
	case saved.Saved.Before(k.node.ConfigWritten()):
		k.log.Info("the saved endpoint list is not used: the configuration is newer", attrs...)
	case k.node.RestoreDiscoveryList(saved.List):
		k.log.Info("starting with the saved endpoint list until discovery responds", attrs...)
	}
}

// load returns the newest usable saved list, and logs the files that are not usable.
func (k *keeper) load() (state, error) {
	data, skipped, err := k.store.Load()
	for _, s := range skipped {
		k.log.Warn("skipped unusable saved state", "code", "state_skipped", "file", s.File, "error", s.Err)
	}
	var saved state
	if err == nil {
		err = json.Unmarshal(data, &saved)
	}
	return saved, err
}

// save writes the current list, unless a later process of the node does so. Consecutive failures, as on a full disk, are logged once; the node goes on without.
func (k *keeper) save() {
	if k.node.Superseded() {
		return
	}
	data, err := json.Marshal(state{Saved: time.Now().UTC(), Discovery: k.node.DiscoveryAddress(), List: k.node.DiscoveryList()})
	if err == nil {
		err = k.store.Save(data)
	}
	switch {
	case err != nil && !k.failing:
		k.log.Error("failed to save the list; serving continues", "code", "state_failed", "error", err)
	case err == nil && k.failing:
		k.log.Info("saving the list succeeded again", "code", "state_saved")
	}
	k.failing = err != nil
}
