package endpointmerge

// Millis is a time or a duration in milliseconds.
type Millis = float64

// SourceRestored is the source of a list that was restored from disk. Its list counts until every other source has reported.
const SourceRestored = "state"

// The fields that have a precedence of sources. The phase has none: a server that any source drains is drained, since to
// ignore a drain breaks requests, and one too many costs only capacity.
const (
	FieldAddress = "address"
	FieldZone    = "zone"
	FieldPod     = "pod"
	FieldSize    = "size"
)

// Fields are all fields with a precedence.
var Fields = []string{FieldAddress, FieldZone, FieldPod, FieldSize}

// The fields without one, in Member.FieldSources.
const (
	fieldPhase   = "phase"
	fieldTags    = "tags"
	fieldStarted = "started"
)

// Settings say how lists are merged.
type Settings struct {
	Sources         []string            // all sources, the strongest first
	FieldPrecedence map[string][]string // by field: another precedence; sources that it omits follow in their order
	RequiredSources []string            // must list a server for it to be a member, once they have reported

	// A list of a guarded source is held if it removes more than MaxRemovedShare (0 to 1; 0: no list is held) of the members
	// at once, and at least MinHeldRemovals of them. It passes when it is confirmed, or when it removes less because other
	// sources agree.
	GuardedSources     []string
	MaxRemovedFraction float64
	MinHeldRemovals    int

	// A server whose group (zone and pod) changes keeps its old group for PodHold and gets no new requests meanwhile: servers
	// drop repetitions of a keyed request within a group, and one sent before the move may still be repeated there. At most
	// MaxMovingShare (0 to 1) of the members move at a time; the others stay in service in their old group. PodHold 0 changes
	// groups at once.
	PodHold           Millis
	MaxMovingFraction float64

	// TombstoneTTL is how long a removal by one source overrides other sources that have listed the server all along.
	TombstoneTTL Millis
}
