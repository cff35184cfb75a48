package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"tackhub.example/tackhub/internal/cli"
	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/statefile"
)

// show prints a saved view. Without a state folder, it prints the view that a node would merge from its files at startup.
func show(out io.Writer, operatorPath, stateDir string, asJSON bool) error {
	o, err := loadOptions(operatorPath)
	if err != nil {
		return err
	}
	if stateDir == "" {
		stateDir = o.StateDir
	}
	var state SavedState
	if stateDir != "" {
		state, err = readSavedState(out, stateDir)
	} else {
		state, err = mergeFiles(out, o)
	}
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(out, state)
	}
	printTable(out, state)
	return nil
}

// readSavedState reads the newest usable state in a folder. It prints the name of each file that it skipped, and the reason.
func readSavedState(out io.Writer, dir string) (SavedState, error) {
	data, skipped, err := statefile.New(statefile.OS{}, dir, stateName, stateVersion).Load()
	for _, s := range skipped {
		printLine(out, "skipped %s: %v", s.File, s.Err)
	}
	if err != nil {
		return SavedState{}, fmt.Errorf("%s: %w", dir, err)
	}
	var state SavedState
	err = json.Unmarshal(data, &state)
	return state, err
}

// mergeFiles merges the list files and the static servers, without discovery, and prints the conflicts between them.
func mergeFiles(out io.Writer, o *Options) (SavedState, error) {
	if len(o.Files) == 0 && len(o.Static) == 0 {
		return SavedState{}, errors.New("inventory show: no state folder, files or static servers are configured: pass --edge or --state")
	}
	const now = 1 // any time works, since nothing expires during one merge
	view := endpointmerge.New(o.settings())
	if len(o.Static) > 0 {
		view.Step(now, o.staticSnapshot())
	}
	for _, f := range o.Files {
		list, err := loadList(o, f.Path)
		if err != nil {
			printDiagnostics(out, err)
			return SavedState{}, cli.ErrReported
		}
		view.Step(now, endpointmerge.Snapshot{Source: f.source(), Revision: list.SHA256, Servers: list.Servers})
	}
	for _, c := range view.Conflicts() {
		printLine(out, "differ: %v", c)
	}
	return SavedState{Saved: time.Now().UTC(), Revisions: view.Revisions(), Members: view.Members()}, nil
}

func printJSON(out io.Writer, state SavedState) error {
	raw, err := json.MarshalIndent(state, "", " ")
	if err != nil {
		return err
	}
	printLine(out, "%s", raw)
	return nil
}

// printTable prints a line with the sources and their revisions, a header, and one line for each server.
func printTable(out io.Writer, state SavedState) {
	sources := make([]string, 0, len(state.Revisions))
	for name, revision := range state.Revisions {
		sources = append(sources, fmt.Sprintf("%s at %.12s", name, revision))
	}
	sort.Strings(sources)
	printLine(out, "%d servers; %s; as of %s", len(state.Members), strings.Join(sources, ", "), state.Saved.Format(time.RFC3339))
	printLine(out, "%-16s %-21s %-8s %-8s %-5s %-8s %s", "id", "address", "zone", "pod", "size", "phase", "from")
	for _, m := range state.Members {
		pod := m.Pod
		if m.MovingTo != "" {
			pod += ">" + m.MovingTo
		}
		printLine(out, "%-16s %-21s %-8s %-8s %-5g %-8s %s", m.ID, m.Address, m.Zone, pod, m.Size, m.Phase, fieldSources(m))
	}
}

// fieldSources returns the source of each field of a member, as sorted field=source pairs.
func fieldSources(m endpointmerge.Member) string {
	var pairs []string
	for field, source := range m.FieldSources {
		pairs = append(pairs, field+"="+source)
	}
	sort.Strings(pairs)
	return strings.Join(pairs, " ")
}
