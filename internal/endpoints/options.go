package endpoints

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/internal/operator"
)

// The names of sources that are no files.
const (
	sourceDiscovery = "discovery"
	sourceStatic    = "static"
)

// Options are the section [inventory].
type Options struct {
	Files       []File              `toml:"file"`
	Static      []StaticServer      `toml:"static"`
	Discovery   bool                `toml:"discovery"`    // the node's discovery is a source
	Precedence  []string            `toml:"precedence"`   // sources, the strongest first
	Order       map[string][]string `toml:"order"`        // by field: another order
	Require     []string            `toml:"require"`      // these must list a server
	RemoveShare float64             `toml:"remove_share"` // a file that takes away more is held
	RemoveLeast int                 `toml:"remove_least"` // fewer servers are never held
	PodHold     operator.Duration   `toml:"pod_hold"`     // 0: the longest window of a keyed class
	MoveShare   float64             `toml:"move_share"`   // of the servers may change their pod at a time
	Tombstone   operator.Duration   `toml:"tombstone"`
	Settle      operator.Duration   `toml:"settle"`
	Poll        operator.Duration   `toml:"poll"`
	StateDir    string              `toml:"state_dir"`
	SaveEvery   operator.Duration   `toml:"save_every"`
}

// File is one file of servers.
type File struct {
	Path     string            `toml:"path"`
	Name     string            `toml:"name"` // of the source; without it the file's
	Aliases  map[string]string `toml:"aliases"`
	MinRows  int               `toml:"min_rows"`
	Trailer  bool              `toml:"trailer"`
	Checksum bool              `toml:"checksum"` // PATH.sha256 must hold its SHA-256
}

// Static is one server that stands in the operator file itself.
type StaticServer struct {
	ID      string  `toml:"id"`
	Address string  `toml:"address"`
	Zone    string  `toml:"zone"`
	Pod     string  `toml:"pod"`
	Size    float64 `toml:"size"`
}

func defaults() *Options {
	return &Options{Discovery: true, RemoveShare: 0.3, RemoveLeast: 3, MoveShare: 0.1,
		Tombstone: operator.Duration(10 * time.Minute), Settle: operator.Duration(100 * time.Millisecond),
		Poll: operator.Duration(time.Second), SaveEvery: operator.Duration(time.Second)}
}

func (f File) source() string {
	if f.Name != "" {
		return f.Name
	}
	return filepath.Base(f.Path)
}

func (f File) checksum() string { return f.Path + ".sha256" }

// confirm is the file by which an operator lets a held list pass: it holds the list's SHA-256.
func (f File) confirm() string { return f.Path + ".confirm" }

func (f File) reading() inventory.Options {
	return inventory.Options{Aliases: f.Aliases, MinRows: f.MinRows, Trailer: f.Trailer}
}

// sources are all sources, in the order of their precedence.
func (o *Options) sources() []string {
	var all []string
	for _, f := range o.Files {
		all = append(all, f.source())
	}
	if len(o.Static) > 0 {
		all = append(all, sourceStatic)
	}
	if o.Discovery {
		all = append(all, sourceDiscovery)
	}
	out := append([]string(nil), o.Precedence...)
	for _, name := range all {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// The bounds of what an operator may set.
const (
	leastPoll   = 10 * time.Millisecond // each is a stat
	mostSettle  = 10 * time.Second
	mostPodHold = time.Minute
	mostStatic  = 4096 // some 150 bytes each, within what the operator file may hold
)

func check(options any) []operator.Diagnostic {
	o := options.(*Options)
	var out []operator.Diagnostic
	say := func(bad bool, key, format string, args ...any) {
		if bad {
			out = append(out, operator.Diagnostic{Key: key, Message: fmt.Sprintf(format, args...)})
		}
	}
	share := func(x float64) bool { return x >= 0 && x <= 1 }
	say(len(o.Files) == 0 && len(o.Static) == 0 && !o.Discovery, "", "no source is named")
	say(!share(o.RemoveShare), "remove_share", "must be a share from 0 to 1")
	say(!(o.MoveShare > 0) || o.MoveShare > 1, "move_share", "must be above 0 and at most 1")
	say(o.RemoveLeast < 0, "remove_least", "must not be negative")
	say(o.PodHold < 0 || o.PodHold.Std() > mostPodHold, "pod_hold", "must be 0s to %v", mostPodHold)
	say(o.Tombstone < 0, "tombstone", "must not be negative")
	say(o.Settle < 0 || o.Settle.Std() > mostSettle, "settle", "must be 0s to %v", mostSettle)
	say(o.Poll.Std() < leastPoll, "poll", "must be at least %v", leastPoll)
	say(o.SaveEvery.Std() < leastPoll, "save_every", "must be at least %v", leastPoll)
	say(len(o.Static) > mostStatic, "static", "%d servers, %d at most", len(o.Static), mostStatic)
	out = append(out, checkFiles(o.Files)...)
	out = append(out, checkStatic(o.Static)...)
	names := o.sources()
	for key, list := range map[string][]string{"precedence": o.Precedence, "require": o.Require} {
		for _, name := range list {
			say(!known(o, name), key, "%q is no source; there are: %s", name, strings.Join(names, ", "))
		}
	}
	for field, list := range o.Order {
		say(!slices.Contains(endpointmerge.Fields, field), "order."+field, "no such field; there are: %s", strings.Join(endpointmerge.Fields, ", "))
		for _, name := range list {
			say(!known(o, name), "order."+field, "%q is no source", name)
		}
	}
	return out
}

func known(o *Options, name string) bool {
	for _, f := range o.Files {
		if f.source() == name {
			return true
		}
	}
	return name == sourceDiscovery && o.Discovery || name == sourceStatic && len(o.Static) > 0
}

func checkFiles(files []File) []operator.Diagnostic {
	var out []operator.Diagnostic
	seen := map[string]bool{sourceDiscovery: true, sourceStatic: true, endpointmerge.SourceRestored: true}
	for i, f := range files {
		key := fmt.Sprintf("file[%d]", i)
		switch ext := strings.ToLower(filepath.Ext(f.Path)); {
		case f.Path == "":
			out = append(out, operator.Diagnostic{Key: key, Message: "path is missing"})
		case ext != ".csv" && ext != ".yaml" && ext != ".yml":
			out = append(out, operator.Diagnostic{Key: key + ".path", Message: fmt.Sprintf("ending %q is not known: .csv, .yaml or .yml is wanted", ext)})
		case seen[f.source()]:
			out = append(out, operator.Diagnostic{Key: key, Message: fmt.Sprintf("another source has the name %q", f.source())})
		case f.MinRows < 0:
			out = append(out, operator.Diagnostic{Key: key + ".min_rows", Message: "must not be negative"})
		}
		seen[f.source()] = true
	}
	return out
}

func checkStatic(list []StaticServer) []operator.Diagnostic {
	var out []operator.Diagnostic
	ids, addresses := map[string]bool{}, map[string]bool{}
	for i, s := range list {
		key := fmt.Sprintf("static[%d]", i)
		_, err := netip.ParseAddrPort(strings.TrimPrefix(s.Address, inventory.SchemeCoAP))
		switch {
		case s.ID == "" || ids[s.ID]:
			out = append(out, operator.Diagnostic{Key: key + ".id", Message: fmt.Sprintf("id %q is missing or comes twice", s.ID)})
		case err != nil:
			out = append(out, operator.Diagnostic{Key: key + ".address", Message: fmt.Sprintf("%q is no IP address with a port", s.Address)})
		case addresses[s.Address]:
			out = append(out, operator.Diagnostic{Key: key + ".address", Message: s.Address + " comes twice"})
		case s.Size < 0:
			out = append(out, operator.Diagnostic{Key: key + ".size", Message: "must not be negative"})
		}
		ids[s.ID], addresses[s.Address] = true, true
	}
	return out
}

// settings are the options in the merged view's terms.
func (o *Options) settings(window time.Duration) endpointmerge.Settings {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	hold := o.PodHold.Std()
	if hold == 0 {
		hold = window
	}
	s := endpointmerge.Settings{Sources: o.sources(), FieldPrecedence: o.Order, RequiredSources: o.Require, MaxRemovedShare: o.RemoveShare,
		MinHeldRemovals: o.RemoveLeast, PodHold: ms(hold), MaxMovingShare: o.MoveShare, TombstoneTTL: ms(o.Tombstone.Std())}
	for _, f := range o.Files {
		s.GuardedSources = append(s.GuardedSources, f.source())
	}
	if o.Order[endpointmerge.FieldAddress] == nil && o.Discovery { // discovery knows where a process is now
		order := map[string][]string{endpointmerge.FieldAddress: {sourceDiscovery}}
		for k, v := range o.Order {
			order[k] = v
		}
		s.FieldPrecedence = order
	}
	return s
}
