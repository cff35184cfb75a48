package balancer

// What a node remembers, and plain bookkeeping over it. No decisions: those are in logic.go.

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Logic decides for one node. It is pure: time and chance come in through Step and New.
type Balancer struct {
	set            Settings
	processes      int                // that make this node
	noRetries      float64            // part of the retry budget that the fleet holds back
	admission      map[string]float64 // the fleet's cut by class; nil: none
	fleetShare     *FleetQuota        // of what the whole fleet may use; nil: the even part
	source         *rand.PCG          // of the chance
	rng            *rand.Rand
	now            Millis
	out            []Action
	servers        map[ServerID]*server
	known          []*server // in the order first heard of
	list           []*server // of these, the ready ones
	scoredAt       Millis
	classes        map[string]*classState
	tenants        map[string]*tenantState
	requests       map[RequestID]*request
	heldQueue      []*request
	outstanding    int // attempts out
	started        bool
	sweeping       bool
	zones          map[string]*classHealth
	informed       bool   // discovery has told the list since the start
	lateAt         Millis // since when news of the list may be missing; +Inf: none is
	askDelay       Millis
	askAt          Millis
	asking         bool
	subscribe      bool
	retries        tokens // further attempts
	unit           Millis // typical unit time over servers
	guess          Millis // what it was taken to be before any was measured
	hintMean       Millis
	pool           []*server // scratch space of candidates
	shared         bool
	explorations   tokens  // requests sent where nothing fits
	width          float64 // requests that a server works on at once, typically
	probes         tokens  // probes that may be sent
	ease           float64 // share of these that the servers bear
	probeTook      Millis  // usual time of a probe
	missedAt       Millis  // when the last request found no place ...
	misses         int     // how many did then
	warmth         float64 // of what cold servers may still lack, the share that they are seen to have
	pace           float64 // the fleet's times against the servers' own records
	refused        map[subject]comingBack
	meanWorth      float64     // over the classes
	listed         int         // how often the list or what is excluded has changed
	trialBy        Idempotency // classes of this effect carry trials: the least harm that there is
	quickest       Millis      // the least time that a server takes for a request ...
	quickestAt     Millis      // ... at this time
	lag            Millis      // how old reports are when they come, as far as it shows
	changed        bool        // since the other nodes were told
	toldAt         Millis
	heardAt        Millis
	deaf           bool // they no longer can be heard, and the log says so
	heardFrom      map[int]Millis
	toldOutcomesAt Millis
	hearGap        Millis                // usual time between two messages of a node
	tellings       tokens                // worth that messages may cost
	named          map[uint16]*server    // by the name used in messages; nil where two share one
	said           map[speaker][]*server // of which servers a node last spoke
	crowd          float64               // requests of other nodes at a server, mean of the fleet by recent reports
}

// attempt is one send of a request.
type attempt struct {
	server      *server
	sentAt      Millis
	queueRounds float64 // requests' times until it should be done, as expected when it was sent
	expected    Millis
	open        bool
	lost        bool   // not in the server's hands, by its latest report
	missed      Millis // how long it had been out when a report did not hold it
}

// request is one request in this node's hands.
type request struct {
	id            RequestID
	class         *classState
	tenant        *tenantState
	arrived       Millis
	expires       Millis
	aimAt         Millis
	cost          float64 // work relative to the mean request
	overQuo       bool
	late          bool // its aim had passed when it came
	uploading     bool // its body is still coming
	attempts      []attempt
	open          int
	done          bool
	held          bool
	probing       Millis // waits for probe results until then
	mayRun        bool   // some attempt may have run
	anchor        *server
	boundTo       Millis // keyed: resending is allowed until then
	value         float64
	subject       subject
	key           uint64  // 0: none that matters
	first, second *server // homes of its key ...
	homesAt       int     // ... at this count of changes
}

// subject is what a request and its client's retries have in common.
type subject struct {
	key   string
	class *classState
}

// comingBack is a refused request that may be tried again.
type comingBack struct{ aimAt, until Millis }

// share follows what was asked for and what was served in time, forgetting slowly.
type share struct {
	asked, served float64
	at            Millis
}

type classState struct {
	Class
	share
	guard      Millis // the shortest aim of what is worth more and has less time
	index      int
	longestTry Millis // longest time a try was given: a shorter one is cut by the client's total
}

type tenantState struct {
	Tenant
	share
	rate   float64 // first tries a second, smoothed
	rateAt Millis
	quota  tokens
}

// tokens is an allowance that refills with time.
type tokens struct {
	left float64
	at   Millis
}

// refill adds what has come in since at the given rate, up to most, and returns what is left.
func (t *tokens) refill(now Millis, rate, most float64) float64 {
	t.left = min(most, t.left+rate*(now-t.at))
	t.at = now
	return t.left
}

// ration refills an allowance of which so much may be saved. Where that is under one, each whole one that comes in stands open only
// for the part of the time until the next that the saving is of one: of many holders, each in a phase of its own, so many have one
// at any moment as together may save.
func (t *tokens) ration(now Millis, rate, saved float64) float64 {
	t.refill(now, rate, math.Inf(1))
	if saved >= 1 {
		t.left = min(t.left, saved)
	} else if t.left >= 1+saved {
		if t.left -= math.Floor(t.left); t.left < saved {
			t.left++
		}
	}
	return t.left
}

// take spends one if there is one.
func (t *tokens) take() bool {
	if t.left < 1 {
		return false
	}
	t.left--
	return true
}

type bucket struct {
	index    int64
	ok, fail int
}

// server is all this node knows of one server.
type server struct {
	Endpoint
	coldSince     Millis // when its slow start began, by this node's clock; 0: long past
	latency       Millis // smoothed; failures are charged a time cost
	unit          Millis // time for each request in its hands: its speed as felt from here
	seen          bool   // unit stems from its own outcomes
	outcomeAt     Millis
	failedAt      Millis // the last failure noted
	answeredTo    Millis // the latest send that was answered
	lost          int    // own attempts that it does not have in hand, by its latest report
	ahead         int    // own attempts whose requests are not whole yet: it cannot have those in hand
	buckets       [bucketCount]bucket
	recent        [recentCount]bool
	recentLen     int
	recentPos     int
	failures      int // consecutive
	excluded      bool
	trialAt       Millis
	score         float64
	classes       []classHealth // by the class's index
	inflight      int
	idle          int        // connections that stand open, and carry nothing
	expect, price Millis     // of the request being placed
	open          []*request // with an attempt out here, oldest first
	others        float64    // requests of other nodes, by the latest report
	othersAvg     float64
	reportAt      Millis
	probeOut      bool
	budget        tokens       // in work, while it is cold
	reach         *classHealth // its zone's, shared
	hash          uint64
	lookedAt      Millis  // when the two below were worked out
	hands         float64 // requests it is taken to hold
	doubt         float64 // how little of that is known, from 0 to 1
	felt          Millis  // for each of them
	bad           float64 // share of requests that fail there
	name          uint16  // in messages
	told          []told
}

// hash is the same at every node.
func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

func (s *server) window(now Millis) (ok, fail int) {
	index := int64(now / bucketLen)
	for _, b := range s.buckets {
		if index-b.index < bucketCount {
			ok, fail = ok+b.ok, fail+b.fail
		}
	}
	return ok, fail
}

func (s *server) recentRate() float64 {
	if s.recentLen == 0 {
		return 1
	}
	good := 0
	for i := 0; i < s.recentLen; i++ {
		if s.recent[i] {
			good++
		}
	}
	return float64(good) / float64(s.recentLen)
}

func (s *server) note(now Millis, good bool) {
	index := int64(now / bucketLen)
	b := &s.buckets[((index%bucketCount)+bucketCount)%bucketCount]
	if b.index != index {
		*b = bucket{index: index}
	}
	if good {
		b.ok++
	} else {
		b.fail++
		s.failedAt = now
	}
	s.recent[s.recentPos] = good
	s.recentPos = (s.recentPos + 1) % recentCount
	s.recentLen = min(s.recentLen+1, recentCount)
}

func (r *request) tried(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return true
		}
	}
	return false
}

func (s *server) drop(r *request) {
	for i, o := range s.open {
		if o == r {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return
		}
	}
}

func (s *share) decay(now Millis) {
	k := math.Exp(-(now - s.at) / goalMemory)
	s.asked, s.served, s.at = s.asked*k, s.served*k, now
}

func (s *share) ratio() float64 {
	if s.asked <= 0 {
		return 1
	}
	return s.served / s.asked
}

// passed tells whether an attempt was lost, or passed by the answer to a later one.
// One whose request is not whole yet is with no server: its silence says nothing.
func (s *server) passed(a *attempt) bool {
	return a.lost || a.sentAt < s.answeredTo || math.IsInf(a.sentAt, 1)
}

// at is a request's open attempt at a server; one of the open requests there has one.
func (r *request) at(s *server) *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.server == s && a.open {
			return a
		}
	}
	return nil
}

// number is an attempt's place among the request's.
func (r *request) number(a *attempt) int {
	for i := range r.attempts {
		if &r.attempts[i] == a {
			return i
		}
	}
	return -1
}

// oldest is the longest outstanding attempt that is neither lost nor passed.
func (s *server) oldest() (*request, *attempt) {
	for _, r := range s.open {
		if a := r.at(s); a != nil && !s.passed(a) {
			return r, a
		}
	}
	return nil, nil
}

// classHealth follows one class's outcomes at one server.
type classHealth struct {
	bad   float64 // smoothed failure share
	tried bool
	told  bool // the log says that it is priced; of a zone
	at    Millis
}

// class gives a class's health at this server.
func (s *server) class(c *classState) *classHealth {
	for len(s.classes) <= c.index {
		s.classes = append(s.classes, classHealth{})
	}
	return &s.classes[c.index]
}

// errorRate is the failure share over the window.
func (s *server) errorRate(now Millis) float64 {
	ok, fail := s.window(now)
	return float64(fail) / math.Max(1, float64(ok+fail))
}

// ran marks that an attempt may have run: the first one binds a keyed request's repeats.
func (r *request) ran(a *attempt) {
	r.mayRun = true
	if r.class.Idempotency == IdempotentWithKey && (r.anchor == nil || a.sentAt+r.class.DedupWindow < r.boundTo) {
		r.anchor, r.boundTo = a.server, a.sentAt+r.class.DedupWindow
	}
}

// forget drops a request once nothing of it is out.
func (l *Balancer) forget(r *request) {
	if r.open == 0 {
		delete(l.requests, r.id)
	}
}

// book adds a request's worth to the shares of its class and its tenant.
func (l *Balancer) book(r *request, add func(*share, float64)) {
	w := l.worth(r)
	r.class.decay(l.now)
	add(&r.class.share, w)
	if r.tenant != nil && !r.overQuo {
		r.tenant.decay(l.now)
		add(&r.tenant.share, w)
	}
}

// timeLeft is the time in which an answer still has its worth.
func (l *Balancer) timeLeft(r *request) Millis {
	if r.late {
		return r.expires - l.now
	}
	return min(r.aimAt, r.expires) - l.now
}

// typicalUnit is the fleet's time for each request in a server's hands, for its size.
func (l *Balancer) typicalUnit(s *server) Millis {
	if l.set.CapacitiesListed && s.Capacity > 0 {
		return l.unit / s.Capacity
	}
	return l.unit
}

// finish ends a request; its attempts may still be out.
func (l *Balancer) finish(r *request) {
	r.done, r.held = true, false
	l.forget(r)
}

// forgetGone drops the servers that have left the list once nothing is out at them: fleets are renewed all day.
func (l *Balancer) forgetGone() {
	l.known = slices.DeleteFunc(l.known, func(s *server) bool {
		gone := s.State == Removed && s.inflight == 0
		if gone {
			delete(l.servers, s.ID)
		}
		return gone
	})
}

// worth is what a timely answer earns.
func (l *Balancer) worth(r *request) float64 {
	w := r.class.PriorityWeight
	if l.set.WeightByWork {
		w *= r.cost
	}
	if r.overQuo {
		w *= l.set.OverQuotaFraction
	}
	return w
}

// look judges a server at most once at one time, unless something happens there: many requests ask.
func (l *Balancer) look(s *server) {
	if s.lookedAt != l.now {
		s.lookedAt = l.now
		s.hands = l.estimatedLoad(s)
		s.felt = l.smoothUnit(s)
		s.bad = l.badShare(s)
	}
}

// occupancy is the requests that a server is taken to have in hand.
func (l *Balancer) occupancy(s *server) float64 {
	l.look(s)
	return s.hands
}

// feltUnit is the time that a server is taken to need for each request in its hands.
func (l *Balancer) feltUnit(s *server) Millis {
	l.look(s)
	return s.felt
}

// homes are the two servers that all nodes prefer for a request's key, where a server that met it lately does
// less work for it: the two highest by a hash of both, of those not excluded.
func (l *Balancer) homes(r *request) (first, second *server) {
	if r.key == 0 || r.homesAt == l.listed {
		return r.first, r.second
	}
	var high, next uint64
	for _, s := range l.list {
		h := (r.key ^ s.hash) * 0x9e3779b97f4a7c15
		if h ^= h >> 32; s.excluded || h <= next {
			continue
		}
		if h > high {
			first, second, high, next = s, first, h, high
		} else {
			second, next = s, h
		}
	}
	r.first, r.second, r.homesAt = first, second, l.listed
	return first, second
}

// hearing says that the other nodes can be heard. That they no longer can is logged once.
func (l *Balancer) hearing() bool {
	if l.heardAt == 0 {
		return false
	}
	silent := l.now >= l.heardAt+l.toldFor()
	if silent && !l.deaf {
		l.logf("no other node heard for %.0f ms: deciding by reports and own outcomes", l.now-l.heardAt)
	}
	l.deaf = silent
	return !silent
}

// toldFor is how long what a node told is believed.
func (l *Balancer) toldFor() Millis { return max(toldOld, 3*l.hearGap) }

// ramp is the least share of its capacity a server can have by now.
func (l *Balancer) ramp(s *server) float64 {
	if s.coldSince <= 0 || l.set.SlowStartDuration <= 0 {
		return 1
	}
	age := l.now - s.coldSince
	return min(1, l.set.InitialCapacity+(1-l.set.InitialCapacity)*age/l.set.SlowStartDuration)
}

// speed is the share of its capacity that a server is taken to have: what it must have by now at the least, and of the
// rest as much as other cold servers show. Nodes that each met every cold server at the fleet's speed sent it a first
// request that came late, fifty nodes each to each.
func (l *Balancer) speed(s *server) float64 {
	least := l.ramp(s)
	return least + l.warmth*(1-least)
}

// warmed is the time that a cold server would have taken once it is warm. Each answer of one tells which way the speed of
// all is off; by how much it hardly can, since what else the server held is not known.
func (l *Balancer) warmed(s *server, unit Millis, good bool) Millis {
	speed := l.speed(s)
	if speed < 1 && good {
		step := warmthGain
		if unit*speed > l.typicalUnit(s)*l.pace {
			step = -warmthGain
		}
		l.warmth = min(1, max(0, l.warmth+step))
	}
	return unit * speed
}

// report books what a server reports of its load.
func (l *Balancer) report(s *server, load LoadReport) {
	if !load.Valid {
		return
	}
	l.findLost(s, load)
	s.lookedAt = -1
	if load.QueueKnown && load.Queued >= 1 { // all that it works on at once, for once
		l.width += widthGain * (max(1, load.InFlight-load.Queued) - l.width)
	}
	s.others = max(0, load.InFlight-float64(s.inflight-s.lost-s.ahead))
	s.othersAvg = l.usualOthers(s) + 0.2*(s.others-l.usualOthers(s))
	s.reportAt = l.now
	l.crowd += crowdGain * (s.others/l.speed(s) - l.crowd)
}

// connection books what an attempt or a probe left of its connection: one is kept after an answer.
func (s *server) connection(result Outcome) {
	if result == OK || result == Errored || result == Overloaded {
		s.idle++
	}
}

// classBad is a class's failure share at a server, forgotten slowly. It is priced as time when servers are
// compared: a server may fail or lose one class and serve the others well.
func (l *Balancer) classBad(s *server, c *classState) float64 {
	h := s.class(c)
	if h.bad == 0 {
		return 0
	}
	return h.bad * math.Exp(-(l.now-h.at)/classMemory)
}

// fade lets what is known of a server go back to the typical once nothing renews it.
func (l *Balancer) fade(s *server, v Millis) Millis {
	idle := l.now - s.outcomeAt - staleAfter
	if idle <= 0 || s.inflight > 0 {
		return v
	}
	base := l.typicalUnit(s)
	return base + (v-base)*math.Exp(-idle/staleDecay)
}

// hintCost is a request's work by its hint, against the mean request.
func (l *Balancer) hintCost(hint Millis) float64 {
	if l.hintMean == 0 {
		l.hintMean = hint
	}
	cost := min(32, max(0.25, hint/l.hintMean))
	l.hintMean += 0.02 * (min(hint, 4*l.hintMean) - l.hintMean) // heavy ones must not move the mean much
	return cost
}

// Census counts the listed servers and, of these, the ones that get nothing in the ordinary way: excluded or draining.
// It changes only when Changes does.
func (l *Balancer) CountEndpoints() (listed, avoided int) {
	for _, s := range l.known {
		if s.State == Removed {
			continue
		}
		if listed++; s.excluded || s.State != Ready {
			avoided++
		}
	}
	return listed, avoided
}

// Changes is how often the list, or what is excluded of it, has changed.
func (l *Balancer) EndpointVersion() int { return l.listed }

// newcomer starts a server at the others' mean score.
func (l *Balancer) newcomer(s *server) {
	sum, n := 0.0, 0.0
	for _, o := range l.list {
		if o != s {
			sum, n = sum+o.score, n+1
		}
	}
	if s.score = 1; n > 0 {
		s.score = sum / n
	}
}

// upload notes that a request's body is still coming.
func (l *Balancer) upload(r *request, most Millis) {
	r.uploading = most > 0
	r.expires += max(0, most)
}

// begun is when a server that is sent a request now can begin it: for one whose body is still coming not before that has
// come, whenever that is. Until then it is none in the server's hands.
func (l *Balancer) begun(r *request, s *server) Millis {
	if r.uploading {
		s.ahead++
		return math.Inf(1)
	}
	return l.now
}

// settle puts an attempt whose request is whole, or over, into its server's hands.
func (l *Balancer) settle(a *attempt) {
	if math.IsInf(a.sentAt, 1) {
		a.sentAt, a.server.lookedAt = l.now, -1
		a.server.ahead--
	}
}

// uploaded counts a request's time, and that of its attempts, from now on.
func (l *Balancer) uploaded(e BodyReceived) {
	r := l.requests[e.ID]
	if r == nil || !r.uploading {
		return
	}
	r.uploading, r.expires = false, e.Deadline
	r.aimAt += l.now - r.arrived
	r.arrived = l.now
	for i := range r.attempts {
		if a := &r.attempts[i]; a.open {
			l.settle(a)
		}
	}
	l.dispatch()
}

func (l *Balancer) do(a Action) { l.out = append(l.out, a) }

func (l *Balancer) logf(format string, args ...any) { l.do(Log{fmt.Sprintf(format, args...)}) }

func (l *Balancer) hold(r *request) {
	r.held, l.heldQueue = true, append(l.heldQueue, r)
}

func (l *Balancer) wakeSweep() {
	if !l.sweeping && len(l.heldQueue) > 0 {
		l.sweeping = true
		l.do(SetTimer{"sweep", l.now + sweepEvery})
	}
}

// quotaScale is this node's part of the tenants' quotas. It is never more than the whole: with all tenants
// over their quotas the loudest must not raise its own.
func (l *Balancer) quotaScale() float64 {
	rate, quota := 0.0, 0.0
	for _, t := range l.set.Tenants {
		st := l.tenants[t.Name]
		rate += st.rate * math.Exp(-(l.now-st.rateAt)/rateMemory)
		quota += t.Quota
	}
	return min(1, max(1/float64(l.set.Nodes), rate/max(1, quota)))
}

// askLost is when an answer to a call for the list is taken to be lost, in ms: whoever carries calls out tells of each end,
// and waits for none as long.
const askLost = 5000

// askWait is the longest time between two calls for the list.
func (l *Balancer) askWait() Millis {
	if l.set.WatchDeadline > 0 {
		return min(askLost, l.set.WatchDeadline/2)
	}
	return askLost
}

// probeWait lets answers come in that a node looks at once a tick.
func (l *Balancer) probeWait() Millis { return max(probeWait, 2*l.set.Tick) }

// expected is the time a request sent now would take.
func (l *Balancer) expected(s *server, r *request) Millis {
	return l.feltUnit(s) * l.queueRounds(l.occupancy(s), r.cost)
}

// noteZone books whether anything came back from a server's zone. A refusal or an error did.
func (l *Balancer) noteZone(s *server, result Outcome, elapsed Millis) {
	h := s.reach
	h.bad, h.tried, h.at = l.zoneBad(h), true, l.now
	if result == TimedOut || result == Unreachable && elapsed >= silentShare*l.set.ConnectTimeout {
		h.bad += classWorse * (1 - h.bad)
	} else {
		h.bad -= classGood * h.bad
	}
}

// zone gives the health of a zone as seen from here.
func (l *Balancer) zone(name string) *classHealth {
	if l.zones[name] == nil {
		l.zones[name] = &classHealth{}
	}
	return l.zones[name]
}

// tellZones logs once when a zone begins to be priced, and once when nearly all of it comes back: a share of silence in
// between says neither.
func (l *Balancer) tellZones() {
	for _, name := range slices.Sorted(maps.Keys(l.zones)) {
		switch h := l.zones[name]; {
		case !h.told && l.zoneFault(h) > 0:
			h.told = true
			l.logf("zone %s: %.0f%% of the sends there bring nothing back and another zone answers, preferring that", name, 100*l.zoneBad(h))
		case h.told && l.zoneBad(h) < classGood:
			h.told = false
			l.logf("zone %s: as good as the others again, or not tried for long", name)
		}
	}
}

// zoneBad is the share of sends to a zone on which nothing came back, forgotten as fast as a shunned server's record.
func (l *Balancer) zoneBad(h *classHealth) float64 {
	return h.bad * math.Exp(-(l.now-h.at)/staleDecay)
}

// overdue is how long a server has kept silent over its oldest attempt: alone, or for each request ahead of
// it. An attempt that an answer to a later send has passed is lost or heavy, now and when its time is up: the
// server is not to be shunned for it.
func (l *Balancer) overdue(s *server, each bool) Millis {
	r, a := s.oldest()
	if a == nil || l.classFault(s, r.class) {
		return 0
	}
	silent := l.now - max(a.sentAt, s.outcomeAt)
	if each {
		silent /= a.queueRounds
	}
	return silent
}

// usualOthers is what the other nodes usually have at a server: its own mean, or the fleet's where its last
// report is old. A node that hears of a server once a minute must not take silence for an empty server.
func (l *Balancer) usualOthers(s *server) float64 {
	usual := l.crowd * l.speed(s) // all nodes send a slow one as much less
	if s.reportAt == 0 {
		return usual
	}
	return usual + (s.othersAvg-usual)*math.Exp(-(l.now-s.reportAt)/(crowdMemory*l.unit))
}
