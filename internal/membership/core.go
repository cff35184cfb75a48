// Package membership decides who of a cluster's nodes is there: failure detection by SWIM (Das, Gupta, Motivala, 2002) with
// incarnations, suspicion and refutation, Lifeguard's distrust of oneself (Dadgar, Phillips, Currey, 2017), witnesses against
// one-sided cuts, and views in which losses that come together are one change (after Rapid: Suresh and others, 2018).
//
// It is pure: the time and messages come in, messages and notes go out; chance comes from a seed. Times are spans of one
// monotonic clock since any moment before the first call. What may rest on a view, and what not, is in docs/members.md.
package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// gapOf periods between two calls mean that the process stood still or was starved: ticks come five times a period.
	gapOf = 1.5

	// probeOf periods a probe has, helpers' way included; Timeout is for the direct way alone.
	probeOf = 2

	// helpers are asked when a probe has no answer in Timeout. SWIM's analysis has three bring the share of false
	// suspicions at 10% loss under one in a thousand.
	helpers = 3

	// shyOf the least suspicion is its span before anybody confirms it; each member that does brings it nearer to the
	// least, confirmers of them whole (Lifeguard's suspicion).
	shyOf, confirmers = 1.6, 3

	// sizeKnown is the number of members at which Suspicion holds as configured; it grows with the logarithm beyond,
	// as news takes that many rounds to reach all.
	sizeKnown = 32

	// hurry members are probed beside the one in turn while somebody is suspected.
	hurry = 2

	// missesBroken probes of one member without an answer of its own, though others hear it, are a broken link, and from
	// missesAsk on it is probed in every period. At a loss of 30% one probe in two has no answer; five in a row are one in
	// thirty.
	missesAsk, missesBroken = 2, 5

	// grudgeOf suspicions is how long a member that others hear, and this one does not, is left alone before somebody
	// must hear it anew.
	grudgeOf = 4

	// healthMost bounds the distrust of own verdicts; each point makes probes half and suspicions an eighth longer.
	healthMost = 4

	// fanout members are told fresh news in each period, sendings times the logarithm of the members it is passed on.
	fanout, sendings = 3, 4

	// tryEvery periods a lost member, and while nobody is heard the seeds, are tried.
	tryEvery = 4

	// syncEvery periods everything known is exchanged with one member, as anti-entropy.
	syncEvery = 40

	// aloneAfter periods without an answer a process that joins goes on by itself, still trying.
	aloneAfter = 8

	// quietOf periods a change of the view waits for others that come with it, longestQuiet at the most while further
	// members are about to be given up.
	quietOf, longestQuiet = 1, 4

	// flapsFree times a member may be lost within flapSpan and come back at once; then it waits, doubled each time.
	flapsFree, flapSpan, flapLongest = 2, time.Minute, 30 * time.Second

	// keepGone is how long one that left or was replaced is remembered, so that old news do not bring it back.
	keepGone = 2 * time.Minute
)

// Options are what a member is.
type Options struct {
	Name        string
	Address     string // as others are to reach it
	ClusterHash uint32 // messages of others are not taken
	Generation  uint64 // of this process; higher than that of the one before it where the clock has not been set back
	RandSeed    uint64

	ProbeInterval    time.Duration // between two probes
	ProbeTimeout     time.Duration // for a direct answer
	SuspicionTimeout time.Duration // the least from the first missing answer to being taken out
	MaxMembers       int           // members, lost ones included
	SeedAddresses    []string      // addresses to begin with
}

// Send is a message for I/O to carry.
type OutgoingMessage struct {
	To      string // member; empty: only the address is known
	Address string
	Stream  bool // by a connection, whose answer is handed to Receive
	Message Message
}

// Condition is what a process makes of its own place.
type Connectivity uint8

// The conditions. All but Whole, and Alone where there never was anybody else, are as good as cut off.
const (
	Connected    Connectivity = iota
	NoPeers                   // has not met anybody yet
	InboundLost               // hears nobody
	OutboundLost              // hears others, and nobody answers it
	Superseded                // another process has its name: it takes no part any more
)

// CutOff tells whether nothing may be concluded about others, and nothing taken that was theirs.
func (c Connectivity) Isolated() bool {
	return c == InboundLost || c == OutboundLost || c == Superseded
}

// Note is something for the log: changes of views and of the own condition, links, standstills.
type Event struct {
	Code string // view, condition, link, standstill, replaced, full
	Text string
	Args []any // keys and values
}

// Core is one member's state.
type Core struct {
	o        Options
	rng      *rand.Rand
	now      time.Duration
	born     time.Duration
	inc      uint32
	state    State // Joining, Alive, Left or Replaced
	cond     Connectivity
	health   int
	heardAny time.Duration // a message of any member came, standstills taken out
	ackAny   time.Duration // a sign that somebody heard this process, likewise
	met      bool          // anybody at all, ever

	known  map[string]*entry
	list   []*entry // known, by name; nil: to be made again
	order  []*entry // being probed in turn
	probes []*probe
	relays []relay
	seq    uint32
	queue  map[slot]*rumour

	nextProbe, nextNews, nextTry, nextSync, nextSeed time.Duration

	view     View
	highest  uint64        // number of a view heard of
	changeAt time.Duration // a change waits since then; -1: none
	out      []OutgoingMessage
	notes    []Event
	refused  int // members not taken for want of room
	refuted  time.Duration
}

// entry is another member.
type entry struct {
	name, address string
	start         uint64
	inc           uint32
	state         State
	since         time.Duration            // the state holds
	heard         time.Duration            // by this process itself; never: before everything
	seen          time.Duration            // by anybody
	reached       time.Duration            // it answered this process itself
	witness       map[string]time.Duration // who heard it, and when
	accusers      map[string]time.Duration // who misses it, while it is suspect or unreachable
	suspectAt     time.Duration
	asked         bool          // others, whether they hear the suspect
	broken        time.Duration // since when the own link is, though others hear it; -1: it is whole
	probed        time.Duration
	misses        int           // own probes in a row without its own answer
	doubted       bool          // somebody heard it while this process missed it, and it has not answered since
	outs          int           // times lost within flapSpan
	outAt         time.Duration // last
	backAt        time.Duration // damped until then
	self          Connectivity  // as it says itself
	former        uint64        // start of the process before it, where it was replaced
}

// never is before every moment.
const never = time.Duration(math.MinInt64 / 4)

// New makes a member that has met nobody yet.
func New(o Options, now time.Duration) *Core {
	c := &Core{o: o, rng: rand.New(rand.NewPCG(o.RandSeed, o.Generation)), now: now, born: now, state: Joining, cond: NoPeers,
		heardAny: now, ackAny: now, known: map[string]*entry{}, queue: map[slot]*rumour{}, changeAt: -1, refuted: never}
	c.nextProbe, c.nextTry, c.nextSync = now+c.spread(o.ProbeInterval), now, now+c.spread(syncEvery*o.ProbeInterval)
	c.view = View{Number: 0, Members: []string{o.Name}, Hash: hash([]string{o.Name})}
	return c
}

// spread is a random part of a span.
func (c *Core) spread(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// Take gives what is to be sent and noted since the last call.
func (c *Core) TakeOutput() ([]OutgoingMessage, []Event) {
	out, notes := c.out, c.notes
	c.out, c.notes = nil, nil
	return out, notes
}

func (c *Core) note(code, text string, args ...any) {
	c.notes = append(c.notes, Event{code, text, args})
}

// advance moves the time on. A gap between two calls is a standstill of this process: nothing that others did not do
// in it is held against them.
func (c *Core) advance(now time.Duration) {
	gap := now - c.now
	if gap <= 0 {
		return
	}
	c.now = now
	if float64(gap) < gapOf*float64(c.o.ProbeInterval) {
		return
	}
	c.probes, c.relays = nil, nil
	c.heardAny, c.ackAny = c.heardAny+gap, c.ackAny+gap
	for _, e := range c.known {
		if e.state == Suspect {
			e.suspectAt += gap
		}
	}
	c.distrust(1)
	c.note("standstill", "this process stood still and draws no conclusion from it", "for_ms", gap.Milliseconds())
}

// distrust raises or lowers the doubt in own verdicts.
func (c *Core) distrust(by int) { c.health = min(healthMost, max(0, c.health+by)) }

// Tick does what has fallen due. It is to be called five times in a period.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	if c.state == Left || c.state == Replaced {
		return
	}
	if c.state == Joining && c.now-c.born >= aloneAfter*c.o.ProbeInterval {
		c.joined()
	}
	c.judgeSelf()
	c.checkProbes()
	c.probeNext()
	c.verdicts()
	c.tryLost()
	c.sync()
	c.tell()
	c.forget()
	c.publish()
}

func (c *Core) joined() {
	c.state = Alive
	c.rumour(c.selfItem(), c.now)
}

func (c *Core) selfItem() Update {
	return Update{Name: c.o.Name, Generation: c.o.Generation, Incarnation: c.inc, State: c.state, Address: c.o.Address}
}

// Leave says goodbye. What Take gives then is to be sent, twice if there is time.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	if c.state == Replaced {
		return
	}
	c.state = Left
	for _, e := range c.pick(c.o.MaxMembers, func(e *entry) bool { return e.state.in() }) {
		c.send(e, Message{Kind: Gossip, Updates: []Update{c.selfItem()}}, false)
	}
}

// in tells whether a member of that state belongs to the view.
func (s State) in() bool { return s == Alive || s == Suspect }

// pick draws some of the members that fit.
func (c *Core) pick(n int, fits func(*entry) bool) []*entry {
	var out []*entry
	for _, e := range c.sorted() {
		if fits(e) {
			out = append(out, e)
		}
	}
	c.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// sorted are all entries in an order that does not depend on the map's, so that one seed gives one run.
func (c *Core) sorted() []*entry {
	if c.list == nil {
		c.list = make([]*entry, 0, len(c.known))
		for _, e := range c.known {
			c.list = append(c.list, e)
		}
		slices.SortFunc(c.list, func(a, b *entry) int { return strings.Compare(a.name, b.name) })
	}
	return c.list
}

// drop forgets a member.
func (c *Core) drop(e *entry) {
	delete(c.known, e.name)
	c.list = nil
}

// send queues a message to a member, with the news that fit.
func (c *Core) send(e *entry, m Message, stream bool) { c.sendTo(e.name, e.address, m, stream) }

func (c *Core) sendTo(name, address string, m Message, stream bool) {
	m.Version, m.ClusterHash, m.From, m.Generation, m.Incarnation = WireVersion, c.o.ClusterHash, c.o.Name, c.o.Generation, c.inc
	m.Connectivity, m.ViewNumber, m.Address = uint8(c.cond), c.view.Number, c.o.Address
	switch m.Kind {
	case SyncRequest, SyncReply:
		m.Updates = c.everything()
	default:
		m.Updates = c.fresh(name, m.Updates)
	}
	c.out = append(c.out, OutgoingMessage{To: name, Address: address, Stream: stream, Message: m})
}

// logOf is the logarithm that rounds of news and suspicions grow with, at least 1.
func logOf(n, base float64) float64 { return max(1, math.Log(n+1)/math.Log(base+1)) }

// size is the number of members in the view, this one included.
func (c *Core) size() int {
	n := 1
	for _, e := range c.sorted() {
		if e.state.in() {
			n++
		}
	}
	return n
}

// forget drops those that are gone for good.
func (c *Core) forget() {
	for _, e := range c.sorted() {
		if e.state == Left && c.now-e.since > keepGone {
			c.drop(e)
		}
	}
}

// room makes place for one more member, at the cost of the one lost for longest.
func (c *Core) room() bool {
	if len(c.known) < c.o.MaxMembers-1 {
		return true
	}
	var oldest *entry
	for _, e := range c.sorted() {
		if !e.state.in() && e.state != Joining && (oldest == nil || e.since < oldest.since) {
			oldest = e
		}
	}
	if oldest == nil {
		if c.refused++; c.refused == 1 {
			c.note("full", "there are as many members as may be, further ones are not taken", "most", c.o.MaxMembers)
		}
		return false
	}
	c.drop(oldest)
	return true
}
