package endpointmerge

// Millis is a time or a duration in milliseconds.
type Millis = float64

// SourceRestored is the source of a list that was restored from disk. The list is used until every other source has reported.
const SourceRestored = "state"

// The fields that have a precedence of sources. The phase has none: a server drains if any source drains it, since ignoring a
// drain breaks requests, while an unnecessary drain costs only capacity.
const (
	FieldAddress = "address"
	FieldZone    = "zone"
	FieldPod     = "pod"
	FieldSize    = "size"
)

// Fields lists all fields with a precedence.
var Fields = []string{FieldAddress, FieldZone, FieldPod, FieldSize}

// The fields of Member.FieldSources without a precedence.
const (
	fieldPhase   = "phase"
	fieldTags    = "tags"
	fieldStarted = "started"
)

// Settings configures how lists are merged.
type Settings struct {
	Sources         []string            // all sources, highest precedence first
	FieldPrecedence map[string][]string // by field: its own precedence; omitted sources follow in the order of Sources
	RequiredSources []string            // once one of them has reported, only servers on its list can be members

	// A list of a guarded source is held if it removes more than MaxRemovedFraction (0 to 1; 0: no list is held) of the members
	// in service, and at least MinHeldRemovals of them. It is released when it is confirmed, or when it removes fewer members
	// because other sources removed them too.
	GuardedSources     []string
	MaxRemovedFraction float64
	MinHeldRemovals    int

	// TombstoneTTL is how long a removal by one source overrides other sources that still list the server. After that, a new
	// report of the server by another source restores it.
	TombstoneTTL Millis
}
