package endpoints

import (
	"path/filepath"
	"slices"
	"time"

	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/internal/operator"
)

// Options holds the section [inventory] of the operator file.
type Options struct {
	// Sources. If discovery is off, at least one file or static server is required.
	Files     []File         `toml:"file"`
	Static    []StaticServer `toml:"static"`
	Discovery bool           `toml:"discovery"` // whether the node's discovery is a source; default true

	// How sources are merged.
	Precedence []string            `toml:"precedence"` // sources, highest precedence first; default: files, static, discovery
	Order      map[string][]string `toml:"order"`      // by field: its own precedence; default: discovery first for addresses
	Require    []string            `toml:"require"`    // sources that must list a server for it to be a member

	// A list file that removes more than the fraction RemoveShare of the servers in service, and at least RemoveLeast of them,
	// is held until it is confirmed.
	RemoveShare float64 `toml:"remove_share"` // 0 to 1; default 0.3; 0 disables the check
	RemoveLeast int     `toml:"remove_least"` // number of servers; default 3

	// How servers move to another pod.
	// PodHold and MoveShare are accepted and have no effect: a server is in its new pod at once.
	PodHold   operator.Duration `toml:"pod_hold"`
	MoveShare float64           `toml:"move_share"`

	Tombstone operator.Duration `toml:"tombstone"` // how long a removal overrides sources that still list the server; default 10m

	// How files are read.
	Settle operator.Duration `toml:"settle"` // how long a file must be unchanged before it is read; default 100ms
	Poll   operator.Duration `toml:"poll"`   // interval of checks for changes, in addition to file notifications; default 1s

	// Where the view is saved.
	StateDir  string            `toml:"state_dir"`  // default: the view is not saved
	SaveEvery operator.Duration `toml:"save_every"` // interval; default 1s
}

// File configures one list file, in CSV or YAML.
type File struct {
	Path     string            `toml:"path"`
	Name     string            `toml:"name"`     // name of the source; default: the base name of Path
	Aliases  map[string]string `toml:"aliases"`  // field name by name of the column or key in the file
	MinRows  int               `toml:"min_rows"` // a file with fewer servers is rejected
	Trailer  bool              `toml:"trailer"`  // the last line must be "# end N"
	Checksum bool              `toml:"checksum"` // PATH.sha256 must contain the SHA-256 of the list file
}

// StaticServer is a server that is listed in the operator file.
type StaticServer struct {
	ID      string  `toml:"id"`
	Address string  `toml:"address"`
	Zone    string  `toml:"zone"`
	Pod     string  `toml:"pod"`
	Size    float64 `toml:"size"`
}

func defaults() *Options {
	return &Options{
		Discovery:   true,
		RemoveShare: 0.3,
		RemoveLeast: 3,
		MoveShare:   0.1,
		Tombstone:   operator.Duration(10 * time.Minute),
		Settle:      operator.Duration(100 * time.Millisecond),
		Poll:        operator.Duration(time.Second),
		SaveEvery:   operator.Duration(time.Second),
	}
}

// source returns the name of the file's source.
func (f File) source() string {
	if f.Name != "" {
		return f.Name
	}
	return filepath.Base(f.Path)
}

// checksumPath returns the path of the file that holds this file's SHA-256.
func (f File) checksumPath() string { return f.Path + ".sha256" }

// confirmPath returns the path of the file with which an operator confirms a held list. It contains the list's SHA-256.
func (f File) confirmPath() string { return f.Path + ".confirm" }

func (f File) parseOptions() inventory.Options {
	return inventory.Options{Aliases: f.Aliases, MinRows: f.MinRows, Trailer: f.Trailer}
}

// configuredSources returns the sources that the options configure, in the default order of precedence.
func (o *Options) configuredSources() []string {
	var sources []string
	for _, f := range o.Files {
		sources = append(sources, f.source())
	}
	if len(o.Static) > 0 {
		sources = append(sources, sourceStatic)
	}
	if o.Discovery {
		sources = append(sources, sourceDiscovery)
	}
	return sources
}

// sources returns all sources, highest precedence first.
func (o *Options) sources() []string {
	sources := slices.Clone(o.Precedence)
	for _, name := range o.configuredSources() {
		if !slices.Contains(sources, name) {
			sources = append(sources, name)
		}
	}
	return sources
}

// staticSnapshot returns the static servers as a snapshot.
func (o *Options) staticSnapshot() endpointmerge.Snapshot {
	servers := make([]inventory.Server, 0, len(o.Static))
	for _, s := range o.Static {
		servers = append(servers, inventory.Server{
			ID:      s.ID,
			Address: s.Address,
			Zone:    s.Zone,
			Pod:     s.Pod,
			Size:    s.Size,
			Phase:   inventory.Serving,
		})
	}
	return endpointmerge.Snapshot{Source: sourceStatic, Revision: "file", Servers: servers}
}

// settings converts the options to the settings of the merged view.
func (o *Options) settings() endpointmerge.Settings {
	s := endpointmerge.Settings{
		Sources:            o.sources(),
		FieldPrecedence:    o.fieldPrecedence(),
		RequiredSources:    o.Require,
		MaxRemovedFraction: o.RemoveShare,
		MinHeldRemovals:    o.RemoveLeast,
		TombstoneTTL:       millis(o.Tombstone.Std()),
	}
	for _, f := range o.Files {
		s.GuardedSources = append(s.GuardedSources, f.source())
	}
	return s
}

// fieldPrecedence returns the precedence by field. Unless another order is set for addresses, discovery's addresses take
// precedence, since discovery has the current address of a process.
func (o *Options) fieldPrecedence() map[string][]string {
	if o.Order[endpointmerge.FieldAddress] != nil || !o.Discovery {
		return o.Order
	}
	precedence := map[string][]string{endpointmerge.FieldAddress: {sourceDiscovery}}
	for field, sources := range o.Order {
		precedence[field] = sources
	}
	return precedence
}

func millis(d time.Duration) endpointmerge.Millis { return float64(d) / float64(time.Millisecond) }
