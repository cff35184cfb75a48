package endpoints

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"tackhub.example/tackhub/internal/cli"
	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/statefile"
)

// Command is tackhub inventory.
func Command() cli.Command {
	var edge, to, state string
	var asJSON bool
	withEdge := func(f *flag.FlagSet) {
		f.StringVar(&edge, "edge", os.Getenv("TACKHUB_EDGE"), "operator `FILE`, for how its files are to be read")
	}
	return cli.Command{Name: "inventory", Help: "Look at lists of servers: lint, diff, convert, show, confirm", Subcommands: []cli.Command{
		{Name: "lint", ArgsUsage: "FILE…", Help: "Tell every fault of lists in CSV or YAML, or that there is none", Flags: withEdge,
			Run: func(args []string, out io.Writer) error { return lint(out, edge, args) }},
		{Name: "diff", ArgsUsage: "A B", Help: "Tell what makes the second list of the first", Flags: withEdge,
			Run: func(args []string, out io.Writer) error { return diff(out, edge, args) }},
		{Name: "convert", ArgsUsage: "FILE", Help: "Write a list in the other form to standard output, with a trailer", Flags: func(f *flag.FlagSet) {
			withEdge(f)
			f.StringVar(&to, "to", "csv", "`FORM`: csv or yaml")
		}, Run: func(args []string, out io.Writer) error { return convert(out, edge, to, args) }},
		{Name: "show", Help: "Show the view that a node has saved, or that it would merge from its files, and each field's source",
			Flags: func(f *flag.FlagSet) {
				withEdge(f)
				f.StringVar(&state, "state", "", "a node's state `FOLDER`; without it the operator file's, then the files themselves")
				f.BoolVar(&asJSON, "json", false, "as JSON")
			}, Run: func(_ []string, out io.Writer) error { return show(out, edge, state, asJSON) }},
		{Name: "confirm", ArgsUsage: "FILE", Help: "Let a list pass that is held for taking away too much: writes FILE.confirm with its SHA-256", Flags: withEdge,
			Run: func(args []string, out io.Writer) error { return confirm(out, edge, args) }},
	}}
}

// options are the section of an operator file; the defaults where there is none.
func options(edge string) (*Options, error) {
	if edge == "" {
		return defaults(), nil
	}
	raw, err := os.ReadFile(edge)
	if err != nil {
		return nil, err
	}
	return fromFile(edge, string(raw))
}

// fromFile reads our section alone: the others are their owners' business.
func fromFile(path, text string) (*Options, error) {
	f, err := operator.ParseSection(path, text, Part().Section)
	if err != nil {
		return nil, err
	}
	if o, ok := f.Options("inventory").(*Options); ok {
		return o, nil
	}
	return defaults(), nil
}

// reading is how a file is to be read: as the operator file says of it, else plainly.
func (o *Options) reading(path string) (File, inventory.Options) {
	for _, f := range o.Files {
		if f.Path == path {
			return f, f.reading()
		}
	}
	return File{Path: path}, inventory.Options{}
}

// load reads one list as a node would.
func load(o *Options, path string) (inventory.List, error) {
	f, how := o.reading(path)
	raw, err := os.ReadFile(path)
	if err != nil {
		return inventory.List{}, err
	}
	if err := checksum(&f, raw); err != nil {
		return inventory.List{}, err
	}
	return inventory.Parse(path, raw, how)
}

func lint(out io.Writer, edge string, paths []string) error {
	if len(paths) == 0 {
		return errors.New("inventory lint: a file is wanted")
	}
	o, err := options(edge)
	if err != nil {
		return err
	}
	bad := false
	for _, path := range paths {
		list, err := load(o, path)
		if err == nil {
			say(out, "%s: %d servers, sha256 %s", path, len(list.Servers), list.SHA256)
			continue
		}
		bad = true
		tellFaults(out, err)
	}
	if bad {
		return cli.ErrReported
	}
	return nil
}

func tellFaults(out io.Writer, err error) {
	var faults *inventory.Diagnostics
	if !errors.As(err, &faults) {
		say(out, "%v", err)
		return
	}
	for _, f := range faults.First {
		say(out, "%v", f)
	}
	if more := faults.Total - len(faults.First); more > 0 {
		say(out, "and %d more faults", more)
	}
}

func say(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }

func diff(out io.Writer, edge string, paths []string) error {
	if len(paths) != 2 {
		return errors.New("inventory diff: two files are wanted")
	}
	o, err := options(edge)
	if err != nil {
		return err
	}
	var lists [2]inventory.List
	for i, path := range paths {
		if lists[i], err = load(o, path); err != nil {
			tellFaults(out, err)
			return cli.ErrReported
		}
	}
	changes := inventory.Diff(lists[0].Servers, lists[1].Servers)
	for _, c := range changes {
		say(out, "%v", c)
	}
	say(out, "%d differences between %d and %d servers", len(changes), len(lists[0].Servers), len(lists[1].Servers))
	return nil
}

func convert(out io.Writer, edge, to string, paths []string) error {
	if len(paths) != 1 || to != "csv" && to != "yaml" {
		return errors.New("inventory convert: one file, and --to csv or --to yaml, are wanted")
	}
	o, err := options(edge)
	if err != nil {
		return err
	}
	list, err := load(o, paths[0])
	if err != nil {
		return err
	}
	written := inventory.WriteCSV(list.Servers)
	if to == "yaml" {
		written = inventory.WriteYAML(list.Servers)
	}
	_, err = out.Write(written)
	return err
}

func confirm(out io.Writer, edge string, paths []string) error {
	if len(paths) != 1 {
		return errors.New("inventory confirm: one file is wanted")
	}
	o, err := options(edge)
	if err != nil {
		return err
	}
	list, err := load(o, paths[0])
	if err != nil {
		return err
	}
	path := File{Path: paths[0]}.confirm()
	if err := os.WriteFile(path+".tmp", []byte(list.SHA256+"\n"), 0o644); err != nil {
		return err
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		return err
	}
	say(out, "%s lets %d servers with sha256 %s pass", path, len(list.Servers), list.SHA256)
	return nil
}

// show prints a saved view, or merges the files as a node would at its start.
func show(out io.Writer, edge, dir string, asJSON bool) error {
	o, err := options(edge)
	if err != nil {
		return err
	}
	if dir == "" {
		dir = o.StateDir
	}
	var state SavedState
	if dir != "" {
		state, err = saved(out, dir)
	} else {
		state, err = merged(out, o)
	}
	if err != nil {
		return err
	}
	if asJSON {
		raw, err := json.MarshalIndent(state, "", " ")
		if err != nil {
			return err
		}
		say(out, "%s", raw)
		return nil
	}
	table(out, state)
	return nil
}

func saved(out io.Writer, dir string) (state SavedState, err error) {
	data, skipped, err := statefile.New(statefile.OS{}, dir, stateName, stateVersion).Load()
	for _, s := range skipped {
		say(out, "passed over %s: %v", s.File, s.Err)
	}
	if err != nil {
		return state, fmt.Errorf("%s: %w", dir, err)
	}
	return state, json.Unmarshal(data, &state)
}

// merged is the view of the files and the static list, without discovery.
func merged(out io.Writer, o *Options) (SavedState, error) {
	if len(o.Files) == 0 && len(o.Static) == 0 {
		return SavedState{}, errors.New("inventory show: neither a state folder nor files are named; --edge or --state is wanted")
	}
	v := endpointmerge.New(o.settings(0))
	i := &Inventory{o: *o}
	if len(o.Static) > 0 {
		v.Step(1, endpointmerge.Snapshot{Source: sourceStatic, Revision: "file", Servers: i.static()})
	}
	for _, f := range o.Files {
		list, err := load(o, f.Path)
		if err != nil {
			tellFaults(out, err)
			return SavedState{}, cli.ErrReported
		}
		v.Step(1, endpointmerge.Snapshot{Source: f.source(), Revision: list.SHA256, Servers: list.Servers})
	}
	for _, c := range v.Conflicts() {
		say(out, "differ: %v", c)
	}
	return SavedState{Saved: time.Now().UTC(), Revisions: v.Revisions(), Members: v.Members()}, nil
}

func table(out io.Writer, state SavedState) {
	sources := make([]string, 0, len(state.Revisions))
	for name, revision := range state.Revisions {
		sources = append(sources, fmt.Sprintf("%s at %.12s", name, revision))
	}
	sort.Strings(sources)
	say(out, "%d servers; %s; as of %s", len(state.Members), strings.Join(sources, ", "), state.Saved.Format(time.RFC3339))
	say(out, "%-16s %-21s %-8s %-8s %-5s %-8s %s", "id", "address", "zone", "pod", "size", "phase", "from")
	for _, m := range state.Members {
		var from []string
		for field, name := range m.FieldSources {
			from = append(from, field+"="+name)
		}
		sort.Strings(from)
		pod := m.Pod
		if m.MovingTo != "" {
			pod += ">" + m.MovingTo
		}
		say(out, "%-16s %-21s %-8s %-8s %-5g %-8s %s", m.ID, m.Address, m.Zone, pod, m.Size, m.Phase, strings.Join(from, " "))
	}
}
