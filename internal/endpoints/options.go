package endpoints

import (
	"path/filepath"
	"slices"
	"time"

	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/internal/operator"
)

// Options are the section [inventory] of the operator file.
type Options struct {
	// Sources. Without discovery a file or a static server is required.
	Files     []File         `toml:"file"`
	Static    []StaticServer `toml:"static"`
	Discovery bool           `toml:"discovery"` // the node's discovery is a source; default true

	// How sources are merged.
	Precedence []string            `toml:"precedence"` // sources, the strongest first; default: files, static, discovery
	Order      map[string][]string `toml:"order"`      // by field: another precedence; default: the address by discovery
	Require    []string            `toml:"require"`    // sources that must list a server

	// A file that removes more than RemoveShare of the servers, and at least RemoveLeast, is held until it is confirmed.
	RemoveShare float64 `toml:"remove_share"` // 0 to 1, default 0.3; 0: no file is held
	RemoveLeast int     `toml:"remove_least"` // default 3

	// How servers move to another pod.
	PodHold   operator.Duration `toml:"pod_hold"`   // without new requests; default 0: the longest idempotency window
	MoveShare float64           `toml:"move_share"` // of the servers at a time; default 0.1

	Tombstone operator.Duration `toml:"tombstone"` // for which a removal overrides sources with nothing new; default 10m

	// How files are read.
	Settle operator.Duration `toml:"settle"` // without change before a file is read; default 100ms
	Poll   operator.Duration `toml:"poll"`   // between looks besides notifications; default 1s

	// Where the view is saved.
	StateDir  string            `toml:"state_dir"`  // default: nowhere
	SaveEvery operator.Duration `toml:"save_every"` // default 1s
}

// File is one file of servers, in CSV or YAML.
type File struct {
	Path     string            `toml:"path"`
	Name     string            `toml:"name"`     // of the source; default: the file's name without its folder
	Aliases  map[string]string `toml:"aliases"`  // from the file's word for a column or key to ours
	MinRows  int               `toml:"min_rows"` // a file with fewer servers is rejected
	Trailer  bool              `toml:"trailer"`  // the last line must be "# end N"
	Checksum bool              `toml:"checksum"` // PATH.sha256 must hold its SHA-256
}

// StaticServer is one server in the operator file itself.
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

// source is the name of the file's source.
func (f File) source() string {
	if f.Name != "" {
		return f.Name
	}
	return filepath.Base(f.Path)
}

// checksumPath is the file that holds this one's SHA-256.
func (f File) checksumPath() string { return f.Path + ".sha256" }

// confirmPath is the file by which an operator lets a held list pass: it holds the list's SHA-256.
func (f File) confirmPath() string { return f.Path + ".confirm" }

func (f File) parseOptions() inventory.Options {
	return inventory.Options{Aliases: f.Aliases, MinRows: f.MinRows, Trailer: f.Trailer}
}

// configuredSources are the sources that the options name or turn on, in the default precedence.
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

// sources are all sources, in the order of their precedence.
func (o *Options) sources() []string {
	sources := slices.Clone(o.Precedence)
	for _, name := range o.configuredSources() {
		if !slices.Contains(sources, name) {
			sources = append(sources, name)
		}
	}
	return sources
}

// staticSnapshot is the list of the servers in the operator file.
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

// settings are the options in the merged view's form; window is used where no pod_hold is set.
func (o *Options) settings(window time.Duration) endpointmerge.Settings {
	podHold := o.PodHold.Std()
	if podHold == 0 {
		podHold = window
	}
	s := endpointmerge.Settings{
		Sources:         o.sources(),
		FieldPrecedence: o.fieldPrecedence(),
		RequiredSources: o.Require,
		MaxRemovedShare: o.RemoveShare,
		MinHeldRemovals: o.RemoveLeast,
		PodHold:         millis(podHold),
		MaxMovingShare:  o.MoveShare,
		TombstoneTTL:    millis(o.Tombstone.Std()),
	}
	for _, f := range o.Files {
		s.GuardedSources = append(s.GuardedSources, f.source())
	}
	return s
}

// fieldPrecedence is the precedence by field. Discovery's word on addresses comes first unless another order is set, since
// it knows where a process runs now.
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
