// Package membership decides which of a cluster's nodes are present. Failure detection follows SWIM (Das, Gupta, Motivala, 2002)
// with incarnations, suspicion and refutation; Lifeguard's local health (Dadgar, Phillips, Currey, 2017); members that vouch for
// one another against links that are cut in one direction; and views in which losses that come together are one change (after
// Rapid: Suresh and others, 2018).
//
// The package does no I/O: times and messages come in, messages and events go out, and randomness comes from a seed. Times are
// spans of one monotonic clock since any moment before the first call. docs/members.md says what may rest on a view.
package membership

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// pauseIntervals is the gap between two calls, in probe intervals, from which on this process counts as having been paused
	// or starved: Tick comes five times in an interval.
	pauseIntervals = 1.5

	// maxLocalHealth bounds the local health score; each point makes probes half and suspicions an eighth longer.
	maxLocalHealth = 4

	// joinIntervals is how many probe intervals a process waits for an answer when it joins. Then it goes on alone, and keeps
	// trying.
	joinIntervals = 8

	// leftRetention is how long a member that left is remembered, so that old updates do not bring it back.
	leftRetention = 2 * time.Minute
)

// never is before every moment.
const never = time.Duration(math.MinInt64 / 4)

// Options configure a member.
type Options struct {
	Name        string
	Address     string // where the other members reach it, an IP address with a port
	ClusterHash uint32 // messages with another one are ignored
	Generation  uint64 // of this process; higher than its predecessor's unless the clock was set back
	RandSeed    uint64

	ProbeInterval    time.Duration // between two health checks
	ProbeTimeout     time.Duration // for a direct answer; then others are asked to ping the member
	SuspicionTimeout time.Duration // the least from the first missing answer until a member is unreachable
	MaxMembers       int           // known members, this one and unreachable ones included
	SeedAddresses    []string      // members to contact first
}

// OutgoingMessage is a message that the caller is to send.
type OutgoingMessage struct {
	To      string // member; empty where only the address is known
	Address string
	Stream  bool // to be sent over a connection, whose answer is handed to Receive
	Message Message
}

// EventCode says what an event is about.
type EventCode string

// The events.
const (
	EventView         EventCode = "view"       // the view has changed
	EventConnectivity EventCode = "condition"  // this process's connectivity has changed
	EventLinkBroken   EventCode = "link"       // others hear a member that this process does not reach
	EventLinkRestored EventCode = "link_whole" // that member answers again
	EventPause        EventCode = "standstill" // this process was paused
	EventReplaced     EventCode = "replaced"   // another process has a member's name
	EventSuperseded   EventCode = "outdated"   // another process has this one's name
	EventFull         EventCode = "full"       // a member was rejected, since MaxMembers are known
)

// Event is something that belongs in the log.
type Event struct {
	Code EventCode
	Text string
	Args []any // alternating keys and values
}

// schedule holds when periodic work is due next.
type schedule struct {
	probe   time.Duration // health check of the next member
	gossip  time.Duration // updates in messages of their own
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
	localHealth  int           // Lifeguard's score: 0 is healthy, more means that this process should doubt its own verdicts
	lastReceived time.Duration // when any member's message came; own pauses are added
	lastAcked    time.Duration // when anybody showed that it had received a message of this process; own pauses are added
	lastRefuted  time.Duration
	metAnyone    bool

	peers    peerTable
	probing  prober
	updates  updateQueue
	due      schedule
	rejected int // members that were not added since the table was full

	view          View
	highestView   uint64        // the highest number that this process has used or heard of
	viewChangedAt time.Duration // since when a change waits to be published; -1: none

	outgoing []OutgoingMessage
	events   []Event
}

// New returns a member that has met nobody yet.
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
	c.due.probe = now + c.randomSpan(options.ProbeInterval)
	c.due.retry = now
	c.due.sync = now + c.randomSpan(syncIntervals*options.ProbeInterval)
	names := []string{options.Name}
	c.view = View{Members: names, Hash: hashNames(names)}
	return c
}

// randomSpan returns a random part of a span, so that members started together do not act together.
func (c *Core) randomSpan(d time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(d) + 1))
}

// TakeOutput returns what is to be sent and logged since the last call.
func (c *Core) TakeOutput() ([]OutgoingMessage, []Event) {
	outgoing, events := c.outgoing, c.events
	c.outgoing, c.events = nil, nil
	return outgoing, events
}

func (c *Core) emit(code EventCode, text string, args ...any) {
	c.events = append(c.events, Event{Code: code, Text: text, Args: args})
}

// Tick does what has fallen due. It is to be called five times in a probe interval.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	if !c.active() {
		return
	}
	if c.state == Joining && c.now-c.startedAt >= joinIntervals*c.options.ProbeInterval {
		c.becomeAlive()
	}
	c.updateConnectivity()
	c.checkProbes()
	c.probeNext()
	c.expireSuspicions()
	c.retryUnreachable()
	c.syncNext()
	c.gossip()
	c.forgetLeft()
	c.publishView()
}

// active reports whether this process takes part in the cluster.
func (c *Core) active() bool { return c.state != Left && c.state != Replaced }

// advance moves the time on, and notices a pause of this process.
//
// A process that was paused (SIGSTOP, a starved machine) finds all its probes unanswered when it goes on. Without care it would
// take every member out of its view at once. So what others did not do during the pause is not held against them: probes under
// way are dropped, and suspicions and its own connectivity get the length of the pause in addition.
func (c *Core) advance(now time.Duration) {
	gap := now - c.now
	if gap <= 0 {
		return
	}
	c.now = now
	if float64(gap) < pauseIntervals*float64(c.options.ProbeInterval) {
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
	c.emit(EventPause, "this process was paused and draws no conclusion from it", "for_ms", gap.Milliseconds())
}

// adjustLocalHealth raises or lowers the doubt in this process's own verdicts.
func (c *Core) adjustLocalHealth(by int) {
	c.localHealth = min(maxLocalHealth, max(0, c.localHealth+by))
}

// becomeAlive ends joining.
func (c *Core) becomeAlive() {
	c.state = Alive
	c.enqueue(c.selfUpdate(), c.now)
}

// selfUpdate is what this process says about itself.
func (c *Core) selfUpdate() Update {
	return Update{Name: c.options.Name, Generation: c.options.Generation, Incarnation: c.incarnation, State: c.state, Address: c.options.Address}
}

// Leave announces that this member leaves. What TakeOutput returns then is to be sent, twice if there is time.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	if c.state == Replaced {
		return
	}
	c.state = Left
	for _, p := range c.choose(c.options.MaxMembers, isInView) {
		c.send(p, Message{Kind: Gossip, Updates: []Update{c.selfUpdate()}})
	}
}

// updateConnectivity judges whether this process hears others and is heard by them.
func (c *Core) updateConnectivity() {
	// Some ten pings go out in that time, so it is no coincidence that nobody answers one.
	patience := c.options.SuspicionTimeout
	next := Connected
	switch {
	case !c.metAnyone:
		next = NoPeers
	case c.now-c.lastReceived > patience:
		next = InboundLost
	case c.now-c.lastAcked > patience*3/2:
		next = OutboundLost
	}
	if next != Connected && !c.peers.anyExpected() {
		next = NoPeers
	}
	if next == c.connectivity {
		return
	}
	c.emit(EventConnectivity, "this process's connection to the other members has changed", "was", c.connectivity.String(), "is", next.String())
	c.connectivity = next
}

// Connectivity returns this process's own.
func (c *Core) Connectivity() Connectivity { return c.connectivity }

// State returns this process's own.
func (c *Core) State() State { return c.state }

// Generation returns this process's own. It does not change once the process has joined.
func (c *Core) Generation() uint64 { return c.options.Generation }

// Process returns a member's process as last heard of; ok is false where the member is not in the view.
func (c *Core) Process(name string) (generation uint64, address string, ok bool) {
	p := c.peers.byName[name]
	if p == nil || !p.state.inView() {
		return 0, "", false
	}
	return p.generation, p.address, true
}
