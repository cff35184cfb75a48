// Package membership decides which nodes of a cluster are present. Failure detection follows SWIM (Das, Gupta, Motivala, 2002)
// with incarnations, suspicion and refutation, and uses Lifeguard's local health (Dadgar, Phillips, Currey, 2017). Members also
// gossip heard-from reports, which contradict suspicions caused by a link that is cut in one direction. Members that are lost at
// about the same time leave the view in one change (after Rapid: Suresh and others, 2018).
//
// The package does no I/O: the caller passes in times and messages, and takes out messages and events. Randomness comes from a
// seed. Times are durations since a fixed moment before the first call, measured by a monotonic clock. docs/members.md describes the
// guarantees of a view for other subsystems.
package membership

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minPauseIntervals is the shortest gap between two calls, in probe intervals, that is treated as a pause: this process was
	// stopped or starved of CPU. Tick is called five times per probe interval.
	minPauseIntervals = 1.5

	// maxLocalHealth bounds the local health score. Each point lengthens probe timeouts by 50% and suspicion timeouts by 12.5%.
	maxLocalHealth = 4

	// joinTimeoutIntervals is how many probe intervals a joining process waits for an answer. After that it becomes alive without
	// one and keeps pinging the seeds.
	joinTimeoutIntervals = 8

	// leftRetention is how long a member that left stays in the table, so that delayed updates do not add it again.
	leftRetention = 2 * time.Minute
)

// never is the time of an event that has not occurred. It precedes every real time, and subtracting it does not overflow.
const never = time.Duration(math.MinInt64 / 4)

// Options configure a member.
type Options struct {
	Name        string
	Address     string // IP address and port at which the other members reach it
	ClusterHash uint32 // messages with a different hash are ignored
	Generation  uint64 // of this process; higher than its predecessor's unless the clock was set back
	RandSeed    uint64

	ProbeInterval    time.Duration // between two health probes
	ProbeTimeout     time.Duration // for a direct answer; after it other members are asked to ping the member
	SuspicionTimeout time.Duration // minimum time from the first missing answer until a member is unreachable
	MaxMembers       int           // known members, including this one and unreachable ones
	SeedAddresses    []string      // contacted first to join the cluster
}

// OutgoingMessage is a message for the caller to send.
type OutgoingMessage struct {
	To      string // member name; empty if only the address is known
	Address string
	Stream  bool // sent over a connection, and the answer is passed to Receive; if false, sent as a datagram
	Message Message
}

// EventCode is the type of an event.
type EventCode string

// The event types.
const (
	EventView         EventCode = "view"       // the view has changed
	EventConnectivity EventCode = "condition"  // this process's connectivity has changed
	EventLinkBroken   EventCode = "link"       // a member does not answer this process, but some member still receives its messages
	EventLinkRestored EventCode = "link_whole" // that member answers again
	EventPause        EventCode = "standstill" // this process was paused
	EventReplaced     EventCode = "replaced"   // another process uses a member's name
	EventSuperseded   EventCode = "outdated"   // another process uses this process's name
	EventTableFull    EventCode = "full"       // a member was rejected because MaxMembers are known
)

// Event is a change that the caller writes to its log.
type Event struct {
	Code EventCode
	Text string
	Args []any // alternating keys and values
}

// schedule holds the times at which periodic work is due next.
type schedule struct {
	probe   time.Duration // probe of the next member
	gossip  time.Duration // messages that contain only updates
	retry   time.Duration // ping of an unreachable member
	sync    time.Duration // exchange of full states
	contact time.Duration // pings of the seeds
}

// Core is the state of one member. It is not safe for concurrent use.
type Core struct {
	options   Options
	rand      *rand.Rand
	now       time.Duration
	startedAt time.Duration

	state        State // Joining, Alive, Left or Replaced
	incarnation  uint32
	connectivity Connectivity
	localHealth  int           // Lifeguard's score: 0 is healthy; a higher score makes this process slower to suspect others
	lastReceived time.Duration // when the latest message from any member arrived, moved forward by later pauses of this process
	lastAcked    time.Duration // when any member last sent this process an Ack or SyncReply, moved forward by later pauses
	lastRefuted  time.Duration
	everReceived bool // whether any member's message has arrived

	peers    peerTable
	probing  prober
	updates  updateQueue
	due      schedule
	rejected int // number of times a member was not added because the table was full

	view              View
	highestViewNumber uint64        // highest view number that this process has used or received
	viewChangedAt     time.Duration // time of the oldest change that is not published yet; -1 if none

	outgoing []OutgoingMessage
	events   []Event
}

// New returns a joining member that has not contacted any other member.
func New(options Options, now time.Duration) *Core {
	c := &Core{
		options:       options,
		rand:          rand.New(rand.NewPCG(options.RandSeed, options.Generation)),
		now:           now,
		startedAt:     now,
		state:         Joining,
		connectivity:  NoPeers,
		lastReceived:  now,
		lastAcked:     now,
		lastRefuted:   never,
		peers:         peerTable{byName: map[string]*peer{}},
		updates:       updateQueue{},
		viewChangedAt: -1,
	}
	c.due.probe = now + c.randomDelay(options.ProbeInterval)
	c.due.retry = now
	c.due.sync = now + c.randomDelay(syncIntervals*options.ProbeInterval)
	names := []string{options.Name}
	c.view = View{Members: names, Hash: hashNames(names)}
	return c
}

// randomDelay returns a random duration of at most d, so that members started at the same time do not probe and sync at the
// same moments.
func (c *Core) randomDelay(d time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(d) + 1))
}

// TakeOutput returns the messages to send and the events to log that were added since the last call.
func (c *Core) TakeOutput() ([]OutgoingMessage, []Event) {
	outgoing, events := c.outgoing, c.events
	c.outgoing, c.events = nil, nil
	return outgoing, events
}

func (c *Core) emit(code EventCode, text string, args ...any) {
	c.events = append(c.events, Event{Code: code, Text: text, Args: args})
}

// Tick does the periodic work that is due. Callers must call it five times per probe interval.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	if !c.active() {
		return
	}
	if c.state == Joining && c.now-c.startedAt >= joinTimeoutIntervals*c.options.ProbeInterval {
		c.becomeAlive()
	}
	c.updateConnectivity()
	c.checkProbes()
	c.probeNext()
	c.expireSuspicions()
	c.retryUnreachable()
	c.syncNext()
	c.gossip()
	c.removeLeft()
	c.publishView()
}

// active reports whether this process takes part in the cluster.
func (c *Core) active() bool { return c.state != Left && c.state != Replaced }

// advance sets the current time and detects a pause of this process.
//
// After a pause (SIGSTOP or a lack of CPU) all probes of this process are unanswered, so it would remove every member from its
// view at once. advance therefore drops the probes in flight, and extends suspicions and the timeouts of the connectivity check by
// the length of the pause.
func (c *Core) advance(now time.Duration) {
	gap := now - c.now
	if gap <= 0 {
		return
	}
	c.now = now
	if float64(gap) < minPauseIntervals*float64(c.options.ProbeInterval) {
		return
	}
	c.probing.abandon()
	c.lastReceived += gap
	c.lastAcked += gap
	for _, p := range c.peers.byName {
		if p.state == Suspect {
			p.suspectedAt += gap
		}
	}
	c.adjustLocalHealth(1)
	c.emit(EventPause, "this process was paused: probes in flight are dropped and suspicion timeouts extended", "for_ms", gap.Milliseconds())
}

// adjustLocalHealth changes the local health score within its bounds. At a higher score this process waits longer for
// answers before it suspects a member.
func (c *Core) adjustLocalHealth(delta int) {
	c.localHealth = min(maxLocalHealth, max(0, c.localHealth+delta))
}

// becomeAlive ends the joining phase and announces this process as alive.
func (c *Core) becomeAlive() {
	c.state = Alive
	c.enqueue(c.selfUpdate(), c.now)
}

// selfUpdate returns the update that describes this process.
func (c *Core) selfUpdate() Update {
	return Update{Name: c.options.Name, Generation: c.options.Generation, Incarnation: c.incarnation, State: c.state, Address: c.options.Address}
}

// Leave announces that this member leaves. The caller then sends the messages from TakeOutput, twice if time permits.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	if c.state == Replaced {
		return
	}
	c.state = Left
	for _, p := range c.chooseRandom(c.options.MaxMembers, isInView) {
		c.send(p, Message{Kind: Gossip, Updates: []Update{c.selfUpdate()}})
	}
}

// updateConnectivity checks whether this process receives messages from others and whether others confirm its own.
func (c *Core) updateConnectivity() {
	// About ten pings are sent within this time, so if none is answered, random packet loss is an unlikely cause.
	timeout := c.options.SuspicionTimeout
	next := Connected
	switch {
	case !c.everReceived:
		next = NoPeers
	case c.now-c.lastReceived > timeout:
		next = InboundLost
	case c.now-c.lastAcked > timeout*3/2:
		next = OutboundLost
	}
	if next != Connected && !c.peers.anyExpected() {
		next = NoPeers
	}
	if next == c.connectivity {
		return
	}
	c.emit(EventConnectivity, "this process's connectivity to the other members changed", "was", c.connectivity.String(), "is", next.String())
	c.connectivity = next
}

// Connectivity returns this process's connectivity.
func (c *Core) Connectivity() Connectivity { return c.connectivity }

// State returns this process's state.
func (c *Core) State() State { return c.state }

// Generation returns this process's generation. It does not change after the process has joined.
func (c *Core) Generation() uint64 { return c.options.Generation }

// Process returns the latest known generation and address of a member; ok is false if the member is not in the view.
func (c *Core) Process(name string) (generation uint64, address string, ok bool) {
	p := c.peers.byName[name]
	if p == nil || !p.state.inView() {
		return 0, "", false
	}
	return p.generation, p.address, true
}
