package balancer

import (
	"fmt"
	"testing"
)

// probed are settings under which load is learnt by probes alone and nodes may talk.
func probed(nodes int) Settings {
	set := settings()
	set.Nodes, set.ProbesAllowed, set.LoadReports, set.ReportsFromProbesOnly, set.GossipAllowed = nodes, true, true, true, true
	set.Prices.Probe, set.Prices.Gossip = 0.004, 0.01
	return set
}

// Guards against counting a server's requests one after the other where it works on several at once.
func TestRequestsBesideOneAnother(t *testing.T) {
	b := newBed(t, probed(1), server3(2)...)
	for i := 0; i < 200; i++ {
		b.step(LoadProbeCompleted{Server: "s0", Outcome: OK, Report: LoadReport{Valid: true, InFlight: 5, QueueKnown: true, Queued: 3}})
	}
	for ahead, want := range map[float64]float64{0: 1, 1: 1, 3: 2} {
		if got := b.l.serviceRounds(ahead, 1); got != want {
			t.Errorf("with %v ahead at two at once: %v requests' times, want %v", ahead, got, want)
		}
	}
}

// Guards against a flood of probes: each has a price, servers turn away what is over their cap, and idle ones tell little.
func TestProbesStayWithinTheirSpend(t *testing.T) {
	ask := func(crowd float64, result Outcome) int {
		b := newBed(t, probed(1), server3(40)...)
		b.l.estimate.othersLoad = crowd
		for i := 0; i < 300; i++ {
			b.now += 50
			id, acts := b.arrive("read", 2000)
			for _, a := range acts {
				if p, ok := a.(ProbeLoad); ok {
					b.step(LoadProbeCompleted{Server: p.Server, Outcome: result, Report: LoadReport{Valid: result == OK, InFlight: crowd}})
				}
			}
			b.end(id, 0, sentTo(b.acts), OK, 10)
		}
		return count[ProbeLoad](b.acts)
	}
	most := int(300*probeBudgetShare/0.004) + 3*probesPerRequest
	if busy, refused, idle := ask(4, OK), ask(4, Overloaded), ask(0, OK); busy > most || busy < 300 || refused > most/3 || idle > most/3 {
		t.Errorf("probes for 300 requests: %d, all turned away %d, idle %d; %d may be paid for", busy, refused, idle, most)
	}
}

// Guards against excluding busy servers where a probe waits its turn like a request.
func TestSlowProbesAreNoFailures(t *testing.T) {
	b := newBed(t, probed(1), server3(3)...)
	for i := 0; i < 50; i++ {
		b.step(LoadProbeCompleted{Server: "s1", Outcome: OK, Elapsed: 120})
		b.step(LoadProbeCompleted{Server: "s0", Outcome: TimedOut, Elapsed: 300})
	}
	if b.l.servers.byID["s0"].outlier.ejected {
		t.Error("excluded for probes that waited")
	}
}

// Guards against crossing zones for nothing, and against staying where it would be late.
func TestCrossingIsPriced(t *testing.T) {
	set := probed(1)
	set.Zone, set.Prices.CrossZone, set.ProbesAllowed = "here", 0.13, false
	list := []Endpoint{{ID: "near", Zone: "here", Capacity: 1}, {ID: "far", Zone: "there", Capacity: 1}}
	crossed := func(hands float64) int {
		n := 0
		for i := 0; i < 50; i++ {
			b := newBed(t, set, list...)
			b.l.rng.Uint64N(uint64(i + 1))
			for _, s := range b.l.servers.ready {
				s.timing.measured, s.timing.unitTime, s.timing.outcomeAt = true, 20, b.now
			}
			b.step(LoadProbeCompleted{Server: "near", Outcome: OK, Report: LoadReport{Valid: true, InFlight: hands}})
			b.step(LoadProbeCompleted{Server: "far", Outcome: OK, Report: LoadReport{Valid: true}})
			if _, acts := b.arrive("read", 2000); sentTo(acts) == "far" {
				n++
			}
		}
		return n
	}
	if n := crossed(0); n > 0 {
		t.Errorf("%d of 50 crossed though the own zone is idle", n)
	}
	if n := crossed(40); n < 50 {
		t.Errorf("%d of 50 crossed though the own zone is full", n)
	}
}

// Guards against losing an excluded server for good where no class is safe to repeat.
func TestTrialByTheLeastRiskyClass(t *testing.T) {
	set := settings()
	set.Classes = set.Classes[1:]
	b := newBed(t, set, server3(4)...)
	s := b.l.servers.byID["s0"]
	s.outlier.ejected, s.outlier.trialAt = true, b.now
	for i := 0; i < 40; i++ {
		b.serve("bill", 10, allOK)
	}
	if !s.outlier.ejected {
		t.Fatal("an unsafe request carried the trial though a keyed class is there")
	}
	for i := 0; i < 40 && s.outlier.ejected; i++ {
		b.serve("put", 10, allOK)
	}
	if s.outlier.ejected {
		t.Error("no trial in 40 keyed requests")
	}
}

// Guards against many nodes each seeing only its own requests: what one has at a server keeps the others away.
func TestToldLoadKeepsOthersAway(t *testing.T) {
	set := probed(2)
	set.ProbesAllowed = false
	one := newBed(t, set, server3(2)...)
	set.Node = 1
	two := newBed(t, set, server3(2)...)
	told := func(s ServerID, acts []Action) float64 {
		for _, a := range acts {
			if m, ok := a.(BroadcastGossip); ok {
				two.step(GossipReceived{From: 0, Body: m.Body})
			}
		}
		return two.l.servers.byID[s].gossipedLoad()
	}
	id, acts := one.arrive("read", 2000)
	busy := sentTo(acts)
	if got := told(busy, one.acts); got != 1 {
		t.Fatalf("%v requests told of at %s, want 1", got, busy)
	}
	one.now += 20
	if got := told(busy, one.end(id, 0, busy, OK, 20)); got != 0 {
		t.Errorf("%v requests at %s after its answer was told of", got, busy)
	}
}

// Guards against trusting messages: odd ones are dropped whole, unknown servers passed over, old word forgotten.
func TestOddMessagesDoNoHarm(t *testing.T) {
	b := newBed(t, probed(4), server3(3)...)
	name := b.l.servers.byID["s0"].gossipTag
	entry := []byte{byte(name >> 8), byte(name), 9}
	for what, body := range map[string][]byte{
		"empty": {}, "cut short": append([]byte{gossipVersion}, entry[:2]...), "other version": append([]byte{0x20}, entry...),
		"other kind": append([]byte{gossipVersion | 7}, entry...), "too long": make([]byte, MaxGossipBytes+1),
		"unknown server": {gossipVersion, byte(name>>8) ^ 1, byte(name), 9},
	} {
		if b.step(GossipReceived{From: 1, Body: body}); b.l.servers.byID["s0"].gossipedLoad() != 0 {
			t.Errorf("%s: believed", what)
		}
	}
	b.step(GossipReceived{From: 1, Body: append([]byte{gossipVersion}, entry...)})
	b.step(GossipReceived{From: 1, Body: append([]byte{gossipVersion}, entry...)})
	if got := b.l.servers.byID["s0"].gossipedLoad(); got != 9 {
		t.Errorf("told twice of 9 requests: %v", got)
	}
	b.now += 4 * minGossipTimeout
	b.step(TimerFired{"sweep"})
	first, again := b.l.gossipAlive(), b.l.gossipAlive() // it is logged once
	if first || again || count[Log](b.l.actions) != 1 {
		t.Errorf("a node long silent: still believed, or %d log lines", count[Log](b.l.actions))
	}
	b.l.settings.GossipAllowed = false
	if b.step(GossipReceived{From: 2, Body: append([]byte{gossipVersion}, entry...)}); b.l.servers.byID["s0"].gossipedLoad() != 9 {
		t.Error("heard where nodes may not talk")
	}
}

// Guards against a server that fails at once and so looks empty: a row of failures, or those others tell of, keep
// requests away though exclusion holds back.
func TestFailuresArePriced(t *testing.T) {
	b := newBed(t, probed(2), server3(2)...)
	s := b.l.servers.byID["s0"]
	if b.l.failureShare(s) != 0 {
		t.Fatal("bad before any failure")
	}
	b.step(GossipReceived{From: 1, Body: []byte{gossipVersion | byte(gossipOutcomes), byte(s.gossipTag >> 8), byte(s.gossipTag), 10, 30}})
	if got := b.l.failureShare(s); got < 0.3 || s.outlier.ejected {
		t.Errorf("30 of 40 failed at another node: share %.2f, excluded %v", got, s.outlier.ejected)
	}
	own := b.l.servers.byID["s1"]
	own.outcomes.record(b.now, false)
	own.outlier.consecutiveFailures, own.timing.outcomeAt = 3, b.now
	if got := b.l.failureShare(own); got < 0.8 {
		t.Errorf("three failures in a row: share %.2f", got)
	}
}

// Guards against nodes that send one key to different servers, none of which then has it warm.
func TestAllNodesPreferTheSameHomes(t *testing.T) {
	set := probed(2)
	set.KeyAffinity = true
	homes := map[ServerID]int{}
	for k := 0; k < 60; k++ {
		r := &request{affinityKey: stableHash(fmt.Sprint("key", k))}
		first, second := newBed(t, set, server3(12)...).l.affinityServers(r)
		r.affinity.version = 0
		other, _ := newBed(t, set, server3(12)...).l.affinityServers(&request{affinityKey: r.affinityKey})
		if first == second || first.ID != other.ID {
			t.Fatalf("homes %s and %s, at another node %s", first.ID, second.ID, other.ID)
		}
		homes[first.ID]++
	}
	if len(homes) < 9 {
		t.Errorf("60 keys live at %d of 12 servers", len(homes))
	}
}

// Guards against taking an unmarked retry for a fresh request with its whole aim ahead.
func TestUnmarkedRetryKeepsItsAim(t *testing.T) {
	set := settings()
	set.ClientsMarkRetries = false
	b := newBed(t, set)
	b.step(Arrival{ID: 1, Class: "read", Key: "k", Deadline: b.now + 2000}) // no server: refused
	b.now += 300
	b.l.Step(b.now, EndpointUpdate{Kind: FullUpdate, Endpoints: server3(1)})
	b.l.estimate.unitTime = 5
	b.step(Arrival{ID: 2, Class: "read", Key: "k", Deadline: b.now + 2000})
	b.step(Arrival{ID: 3, Class: "read", Key: "k", Deadline: b.now + 2000})
	if second, third := b.l.requests[2], b.l.requests[3]; second.objectiveAt != b.now+100 || third.objectiveAt != b.now+400 {
		t.Errorf("%.0f ms left for the retry, %.0f for the next", second.objectiveAt-b.now, third.objectiveAt-b.now)
	}
}

// Guards against crowded servers, which slow down for all: neither more than some for each that is worked on, nor any
// that is late already beside others.
func TestServersAreNotPacked(t *testing.T) {
	set := settings()
	set.Classes[0].LateFraction, set.Goal.TailLatency = 0.5, 0.2
	b := newBed(t, set, server3(1)...)
	b.l.estimate.unitTime, b.l.servers.byID["s0"].timing.measured, b.l.servers.byID["s0"].timing.unitTime = 5, true, 5
	sent := 0
	for i := 0; i < 10; i++ {
		_, acts := b.arrive("read", 2000)
		sent += count[StartAttempt](acts)
	}
	if sent != saturationFactor {
		t.Errorf("%d requests sent to a server that works on one at once", sent)
	}
	late := &request{class: b.l.classes["read"], work: 1, deadline: b.now + 1500, objectiveAt: b.now - 1, late: true}
	if s := b.l.pickServer(late); s != nil {
		t.Error("a late request was sent to a busy server")
	}
}
