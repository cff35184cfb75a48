package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// fleet are settings of one of hundreds of nodes, with probes at a price.
func fleet(probe float64) Settings {
	set := settings()
	set.Nodes, set.ProbesAllowed, set.LoadReports, set.Prices.Probe = 300, true, true, probe
	return set
}

// Guards against holding requests back, and refusing them at their end, where nothing is known of the servers and no
// probes are to be had that would tell more: with hundreds of nodes a fifth was refused while servers had room.
func TestABlindNodeSendsAtOnce(t *testing.T) {
	sent := func(set Settings, crowd float64) bool {
		b := newBed(t, set, server3(40)...)
		b.l.estimate.othersLoad, b.l.probing.tokens.left = crowd, 0
		_, acts := b.arrive("read", 2000)
		return sentTo(acts) != ""
	}
	dear, cheap := fleet(10*probeBudgetShare), fleet(probeBudgetShare/10)
	if !sent(dear, 1) {
		t.Error("a request is held although no news can come")
	}
	if sent(cheap, 1) {
		t.Error("a request is sent blindly although probes may be spent on it")
	}
	if sent(dear, 8) {
		t.Error("a request is sent although servers are taken to be full")
	}
	dear.ProbesAllowed = false
	if !sent(dear, 1) {
		t.Error("a request is held although nobody may be probed")
	}
	dear.LoadReports = false
	b := newBed(t, dear, server3(1)...)
	if b.l.refreshEstimate(b.l.servers.byID["s0"]); b.l.servers.byID["s0"].estimate.doubt != 0 {
		t.Error("where servers report nothing there is no doubt to be had of them")
	}
}

// Guards against taking a server whose load was just reported for one of which nothing is known.
func TestDoubtGrowsWithTheReportsAge(t *testing.T) {
	b := newBed(t, fleet(0.1), server3(2)...)
	s := b.l.servers.byID["s0"]
	b.step(LoadProbeCompleted{Server: "s0", Outcome: OK, Report: LoadReport{Valid: true, InFlight: 2}})
	b.l.refreshEstimate(s)
	fresh := s.estimate.doubt
	b.now += 20 * b.l.estimate.unitTime
	b.step(TimerFired{"sweep"})
	if b.l.refreshEstimate(s); fresh > 0.1 || s.estimate.doubt < 0.9 {
		t.Errorf("doubt %v right after a report, %v long after it", fresh, s.estimate.doubt)
	}
}

// Guards against sending to servers that may have been told to drain long ago, where the list is late: those that took a
// request of ours just now surely do not drain. Where there are none all stay open, and news ends it.
func TestALateListPrefersServersThatJustTookRequests(t *testing.T) {
	b := newBed(t, settings(), server3(20)...)
	b.step(EndpointUpdate{Kind: UpdateOverdue})
	b.now += b.l.settings.DrainGrace / 4
	if n := len(b.l.candidates(&request{class: b.l.classes["read"]})); n != 20 {
		t.Errorf("%d candidates within the grace, want all 20", n)
	}
	b.serve("read", 10, allOK)
	for i := 0; i < 50; i++ {
		b.now += b.l.settings.DrainGrace / 10
		id, acts := b.arrive("read", 2000)
		s := sentTo(acts)
		if i > 10 && b.l.mayBeDraining(b.l.servers.byID[s]) {
			t.Fatalf("sent to %s, which has taken nothing for half the grace", s)
		}
		b.now += 10
		b.end(id, 0, s, OK, 10)
	}
	sure := len(b.l.candidates(&request{class: b.l.classes["read"]}))
	if sure == 0 || sure == 20 {
		t.Errorf("%d of 20 servers are open after news has been late for long", sure)
	}
	b.now += 10 * b.l.settings.DrainGrace
	b.step(TimerFired{"sweep"})
	if n := len(b.l.candidates(&request{class: b.l.classes["read"]})); n != 20 {
		t.Errorf("%d candidates where none is sure, want all 20", n)
	}
	b.step(EndpointUpdate{Kind: UpdateOverdue})
	b.serve("read", 10, allOK)
	b.now += b.l.settings.DrainGrace
	b.serve("read", 10, allOK)
	b.step(EndpointUpdate{Kind: DeltaUpdate})
	if n := len(b.l.candidates(&request{class: b.l.classes["read"]})); n != 20 {
		t.Errorf("%d candidates after news, want all 20", n)
	}
}

// Guards against finding out one server after the other that a zone is cut off, where a node meets each of them once in
// seconds: of 3,800 pairs of a node and a server 3,109 waited for a connection once (split+mass).
func TestAZoneFromWhichNothingComesIsAvoidedAsAWhole(t *testing.T) {
	play := func(zones []string, silent func(zone string) Outcome, took Millis) (there int) {
		set := fleet(0.1)
		set.ConnectTimeout = 150
		entries := server3(60)
		for i := range entries {
			entries[i].Zone = zones[i%len(zones)]
		}
		b := newBed(t, set, entries...)
		for range 100 {
			b.now += 50
			id, acts := b.arrive("read", 2000)
			for n := 0; sentTo(acts) != ""; n++ {
				s := sentTo(acts)
				result, elapsed := OK, Millis(10)
				if zone := b.l.servers.byID[s].Zone; zone == "cut" {
					there++
					result, elapsed = silent(zone), took
				}
				acts = b.end(id, n, s, result, elapsed)
			}
		}
		return there
	}
	always := func(r Outcome) func(string) Outcome { return func(string) Outcome { return r } }
	if n := play([]string{"a", "b", "cut"}, always(Unreachable), 150); n > 8 {
		t.Errorf("%d of 100 requests waited at a zone that is cut off", n)
	}
	if n := play([]string{"a", "b", "cut"}, always(Unreachable), 1); n < 15 { // refused: the processes are gone, not the zone
		t.Errorf("only %d sends to a zone whose servers refuse connections: each is to be judged alone", n)
	}
	if n := play([]string{"cut"}, always(Unreachable), 150); n < 60 {
		t.Errorf("only %d sends where all there is is silent", n)
	}
}

// Guards against a zone that stays shunned once it is back.
func TestAZoneIsTriedAgain(t *testing.T) {
	set := fleet(0.1)
	set.ConnectTimeout = 150
	entries := server3(20)
	for i := range entries {
		entries[i].Zone = []string{"a", "cut"}[i%2]
	}
	b := newBed(t, set, entries...)
	far, near := b.l.servers.byID["s1"], b.l.servers.byID["s0"]
	b.l.recordZoneOutcome(near, OK, 10)
	for range 5 {
		b.l.recordZoneOutcome(far, TimedOut, 300)
	}
	if b.l.zoneFailureShare(far.zoneFailures) == 0 || b.l.zoneFailureShare(near.zoneFailures) != 0 {
		t.Fatalf("fault %v there and %v here", b.l.zoneFailureShare(far.zoneFailures), b.l.zoneFailureShare(near.zoneFailures))
	}
	for range 20 { // one answer in between is not the end of it
		b.l.recordZoneOutcome(far, TimedOut, 300)
		b.l.updateScores()
		b.l.recordZoneOutcome(far, OK, 10)
		b.l.updateScores()
	}
	if said := b.l.actions; count[Log](said) != 1 || !strings.Contains(said[len(said)-1].(Log).Text, "zone cut") {
		t.Errorf("said of a zone that is cut off: %v, want one line", said)
	}
	b.now += 3 * staleDecay
	b.step(TimerFired{"sweep"})
	if f := b.l.zoneFailureShare(far.zoneFailures); f != 0 {
		t.Errorf("still shunned with %v after some seconds without news", f)
	}
	b.l.actions = nil
	for range 5 {
		b.l.updateScores()
	}
	if n := count[Log](b.l.actions); n != 1 {
		t.Errorf("%d lines once it is tried again, want one", n)
	}
}

// Guards against learning anew at each cold server that it is slow: 80 nodes sent each of 36 replaced servers a first
// request at the fleet's speed, and up to 57% of those came late (join+vast). What a few showed holds for the rest, and
// what was seen of one while it was cold does not hold it down once it is warm.
func TestTheSpeedOfColdServersIsLearntFromAllOfThem(t *testing.T) {
	for _, speed := range []float64{0.35, 0.8} {
		entries := server3(4)
		b := newBed(t, fleet(0.1), entries...)
		entries[2].Started, entries[3].Started = b.now, b.now
		b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: entries[2:]})
		met, unseen := b.l.servers.byID["s2"], b.l.servers.byID["s3"]
		b.l.estimate.unitTime = 20
		for i := range 100 { // half of them wait for what else is there
			took := b.l.estimate.unitTime / speed * []float64{0.7, 1.3}[i%2]
			a := attempt{server: met, sentAt: b.now, serviceRounds: 1}
			b.l.recordAttemptOutcome(met, &request{class: b.l.classes["read"], work: 1}, &a, OK, took)
		}
		if got := b.l.estimatedCapacity(unseen); math.Abs(got-speed) > 0.15 {
			t.Errorf("a cold server never met is taken to have %.2f of its capacity, another showed %v", got, speed)
		}
		if now := b.l.currentUnitTime(unseen); now < b.l.estimate.unitTime/(speed+0.15) {
			t.Errorf("a cold server never met is taken to need %.1f ms, a warm one needs %.1f", now, b.l.estimate.unitTime)
		}
		b.now += b.l.settings.SlowStart.Duration
		met.timing.outcomeAt = b.now // not by fading
		b.step(TimerFired{"sweep"})
		if felt := b.l.currentUnitTime(met); felt > 1.6*b.l.estimate.unitTime || felt < b.l.estimate.unitTime/1.6 {
			t.Errorf("warm by now it is taken to need %.1f ms, the fleet %.1f", felt, b.l.estimate.unitTime)
		}
	}
}

// Guards against taking a slow server of which nothing is known to hold as much as the others: nodes that price its
// slowness send it as much less, and refused 15 to 21% while it stood half idle (join+vast).
func TestSlowServersAreTakenToHoldLess(t *testing.T) {
	entries := server3(2)
	b := newBed(t, fleet(0.1), entries...)
	entries[1].Started = b.now
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: entries[1:]})
	b.l.estimate.othersLoad = 3
	warm, cold := b.l.servers.byID["s0"], b.l.servers.byID["s1"]
	if w, c := b.l.estimateRequests(warm), b.l.estimateRequests(cold); c > 0.9*w || c <= 0 {
		t.Errorf("%.2f requests at a cold server, %.2f at a warm one", c, w)
	}
	b.l.recordLoadReport(cold, LoadReport{Valid: true, InFlight: 3 * b.l.estimatedCapacity(cold)})
	if math.Abs(b.l.estimate.othersLoad-3) > 1e-9 {
		t.Errorf("a cold server with its part in hand moves the fleet's mean from 3 to %v", b.l.estimate.othersLoad)
	}
}

// Guards against a new connection for every fourth request where each of many nodes goes to any server: servers close
// what stands idle for seconds, and a handshake may cost a twelfth of a request.
func TestOpenConnectionsComeFirstWhereHandshakesArePriced(t *testing.T) {
	play := func(price float64, closing func(i int) bool) (dialed int) {
		set := fleet(0.1)
		set.Prices.Handshake = price
		b := newBed(t, set, server3(40)...)
		open := map[ServerID]int{}
		for i := range 200 {
			b.now += 50
			id, acts := b.arrive("read", 2000)
			s := sentTo(acts)
			if open[s]--; open[s] < 0 {
				open[s] = 0
				dialed++
			}
			b.now += 10
			b.end(id, 0, s, OK, 10)
			if open[s]++; closing(i) {
				open[s]--
				b.step(ConnectionClosed{Server: s})
			}
		}
		return dialed
	}
	never := func(int) bool { return false }
	if free, dear := play(0, never), play(0.1, never); free < 30 || dear > free/2 {
		t.Errorf("%d connections at no price, %d at a price", free, dear)
	}
	if n := play(0.1, func(int) bool { return true }); n < 190 {
		t.Errorf("%d connections opened where each is closed at once: the node was not told", n)
	}
	if free, dear := play(0, never), play(0.001, never); dear < free/2 {
		t.Errorf("%d connections at next to no price, %d at none", dear, free)
	}
}

// Guards against counting a connection twice or below none: a probe and an attempt take one, an answer gives one back,
// and what broke or was withdrawn gives none.
func TestConnectionsAreCounted(t *testing.T) {
	b := newBed(t, fleet(0.1), server3(1)...)
	s := b.l.servers.byID["s0"]
	for _, step := range []struct {
		result Outcome
		want   int
	}{{OK, 1}, {Errored, 2}, {Overloaded, 3}, {ConnectionLost, 3}, {TimedOut, 3}, {Unreachable, 3}, {Cancelled, 3}, {NotSent, 3}} {
		if s.recordConnection(step.result); s.idleConnections != step.want {
			t.Errorf("%d connections idle after result %v, want %d", s.idleConnections, step.result, step.want)
		}
	}
	for range 5 {
		b.step(ConnectionClosed{Server: "s0"})
	}
	b.step(ConnectionClosed{Server: "unheard of"})
	if s.idleConnections != 0 {
		t.Errorf("%d connections idle after all were closed", s.idleConnections)
	}
}

// discoveryModel takes calls in turn at so many a second. One that would wait longer than two seconds is turned away: at
// that time, or at once where twice as many wait. What it is asked it works on all the same, as was seen.
type discoveryModel struct {
	each Millis // for one call
	busy Millis // until then
	away int
}

// call tells when the answer comes and whether it is the list.
func (d *discoveryModel) call(now Millis) (at Millis, ok bool) {
	const patience = 2000
	d.busy = max(d.busy, now) + d.each
	switch wait := d.busy - now; {
	case wait <= patience:
		return d.busy, true
	case wait > 2*patience:
		d.busy -= d.each // not even looked at
		d.away++
		return now + 1, false
	}
	d.away++
	return now + patience, false
}

// Guards against nodes that, restarted together, keep discovery full by coming back at once when it turns them away: six
// seconds after their start 42 of 56 knew under half of 42 new servers, and 24% was refused (herd+vast).
func TestRestartedNodesAreInformedByAnOverbookedDiscovery(t *testing.T) {
	for _, size := range []struct {
		nodes  int
		within Millis // until nine in ten know the list
		calls  float64
	}{{1, 1000, 1}, {8, 1500, 1.5}, {80, 10000, 2}, {300, 13000, 1.5}, {1000, 6000, 1.5}} {
		d := &discoveryModel{each: 5000 / float64(max(50, size.nodes))} // a call from every node in 5 s: it grows with them
		set := settings()
		set.Nodes, set.WatchEndpoints = size.nodes, true
		type wake struct {
			at   Millis
			node int
			what Event
		}
		var queue []wake
		push := func(w wake) {
			i, _ := slices.BinarySearchFunc(queue, w.at, func(q wake, at Millis) int { return int(math.Copysign(1, q.at-at)) })
			queue = slices.Insert(queue, i, w)
		}
		nodes, calls := make([]*Balancer, size.nodes), 0
		for i := range nodes {
			set.Node = i
			l, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			nodes[i] = l
			push(wake{rand.New(rand.NewPCG(uint64(i), 1)).Float64(), i, EndpointUpdate{Kind: CachedUpdate, Endpoints: server3(4)}})
		}
		var informed []Millis
		for now := 0.0; len(queue) > 0 && len(informed) < size.nodes && now < 3*size.within; {
			w := queue[0]
			queue = queue[1:]
			now = w.at
			if l, ok := w.what.(EndpointUpdate); ok && l.Kind == FullUpdate {
				informed = append(informed, now)
			}
			for _, a := range nodes[w.node].Step(now, w.what) {
				switch a := a.(type) {
				case SetTimer:
					push(wake{a.At, w.node, TimerFired{a.Token}})
				case WatchEndpoints:
					calls++
					at, ok := d.call(now)
					form := UpdateFailed
					if ok {
						form = FullUpdate
					}
					push(wake{at, w.node, EndpointUpdate{Kind: form, Endpoints: server3(4)}})
				}
			}
		}
		most := (9*size.nodes + 9) / 10
		if len(informed) < most || informed[most-1] > size.within {
			t.Errorf("%d nodes: %d informed, turned away %d times; nine in ten are to be by %v ms", size.nodes, len(informed), d.away, size.within)
		}
		if each := float64(calls) / float64(size.nodes); each > size.calls {
			t.Errorf("%d nodes: %.1f calls each, %v at most", size.nodes, each, size.calls)
		}
	}
}

// Guards against a draw that favours whoever comes first in the list once crowded servers are set aside: those that are left each
// get their part by score.
func TestThoseNotCrowdedAreDrawnInProportion(t *testing.T) {
	set := settings()
	b := newBed(t, set, server3(5)...)
	for i, s := range b.l.servers.ready {
		s.timing.measured, s.timing.unitTime, s.timing.outcomeAt, s.score = true, 20, b.now, float64(i+1)
	}
	b.l.estimate.unitTime, b.l.estimate.initialUnitTime, b.l.scoredAt = 20, 20, b.now
	crowded := b.l.servers.ready[2]
	crowded.timing.unitTime = 40 // twice the best's time, and still within the aim
	const picks = 20000
	got := map[ServerID]float64{}
	for range picks {
		r := &request{class: b.l.classes["read"], work: 1, arrived: b.now, objectiveAt: b.now + 400, deadline: b.now + 2000}
		got[b.l.pickServer(r).ID]++
	}
	for i, s := range b.l.servers.ready {
		want := float64(i+1) / (1 + 2 + 4 + 5)
		if s == crowded {
			want = 0
		}
		if math.Abs(got[s.ID]/picks-want) > 0.015 {
			t.Errorf("%s was drawn %.3f of the time, want %.3f", s.ID, got[s.ID]/picks, want)
		}
	}
}
