package logic

import "testing"

// fleet are settings of one of hundreds of nodes, with probes at a price.
func fleet(probe float64) Settings {
	set := settings()
	set.Nodes, set.MayProbe, set.Reports, set.ProbePrice = 300, true, true, probe
	return set
}

// Guards against holding requests back, and refusing them at their end, where nothing is known of the servers and no
// probes are to be had that would tell more: with hundreds of nodes a fifth was refused while servers had room.
func TestABlindNodeSendsAtOnce(t *testing.T) {
	sent := func(set Settings, crowd float64) bool {
		b := newBed(t, set, server3(40)...)
		b.l.crowd, b.l.probes.left = crowd, 0
		_, acts := b.arrive("read", 2000)
		return sentTo(acts) != ""
	}
	dear, cheap := fleet(10*probeSpend), fleet(probeSpend/10)
	if !sent(dear, 1) {
		t.Error("a request is held although no news can come")
	}
	if sent(cheap, 1) {
		t.Error("a request is sent blindly although probes may be spent on it")
	}
	if sent(dear, 8) {
		t.Error("a request is sent although servers are taken to be full")
	}
	dear.MayProbe = false
	if !sent(dear, 1) {
		t.Error("a request is held although nobody may be probed")
	}
	dear.Reports = false
	b := newBed(t, dear, server3(1)...)
	if b.l.look(b.l.servers["s0"]); b.l.servers["s0"].doubt != 0 {
		t.Error("where servers report nothing there is no doubt to be had of them")
	}
}

// Guards against taking a server whose load was just reported for one of which nothing is known.
func TestDoubtGrowsWithTheReportsAge(t *testing.T) {
	b := newBed(t, fleet(0.1), server3(2)...)
	s := b.l.servers["s0"]
	b.step(ProbeEnd{Server: "s0", Result: OK, Load: Load{Valid: true, InFlight: 2}})
	b.l.look(s)
	fresh := s.doubt
	b.now += 20 * b.l.unit
	b.step(TimerFired{"sweep"})
	if b.l.look(s); fresh > 0.1 || s.doubt < 0.9 {
		t.Errorf("doubt %v right after a report, %v long after it", fresh, s.doubt)
	}
}
