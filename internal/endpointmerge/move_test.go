package endpointmerge

import (
	"testing"

	"tackhub.example/tackhub/internal/inventory"
)

// A keyed request may be repeated in the pod that it was sent to; one that was sent to a server on its move would be dropped by
// neither pod's servers. So a server that moves gets no new requests until the window is over. A pod that is only renamed
// stays in service.
func TestPodsMove(t *testing.T) {
	set := testSettings()
	set.Sources, set.MaxMovingFraction = []string{"file"}, 0.3
	s := sequence{t, New(set)}
	two := append(servers("p1", 2), server("s3", "p2"), server("s4", "p2"))
	s.step(1, Snapshot{Source: "file", Revision: "1", Servers: two}, " s1@1 s2@1 s3@2 s4@2")
	renamed := append(servers("q1", 2), server("s3", "p2"), server("s4", "p2"))
	s.step(2, Snapshot{Source: "file", Revision: "2", Servers: renamed}, "")
	moved := append(servers("p2", 2), server("s3", "p2"), server("s4", "p2")) // both join a pod that others have
	out := s.step(3, Snapshot{Source: "file", Revision: "3", Servers: moved}, " s1~@1")
	if out.NextTick != 2003 || out.MovesStarted != 1 {
		t.Errorf("wake at %v, %d moved; want 2003 and 1 of 4 at a time", out.NextTick, out.MovesStarted)
	}
	s.step(2002, Tick{}, "")
	s.step(2003, Tick{}, " s1@2 s2~@1")
	s.step(2500, Snapshot{Source: "file", Revision: "4", Servers: append(servers("q1", 2)[1:], moved[0], moved[2], moved[3])}, " s2@1") // back before it moved
	if got := s.v.Members(); got[0].Pod != "p2" || got[1].Pod != "q1" || got[1].MovingTo != "" {
		t.Errorf("members %+v", got)
	}
	s.step(2600, Snapshot{Source: "file", Revision: "5", Servers: []inventory.Server{server("s1", "p1"), server("s2", "q1"), server("s3", "p2"), server("s4", "p2")}}, " s1~@2")
	s.step(4600, Tick{}, " s1@3") // the old name came back: it is another pod than the one that is q1 now
}

// Several moves to pods that are new end in one step. The same events have to give the pods the same numbers at every node and in every
// run: keyed requests stay within a number.
func TestNewPodsAreNumberedInOrder(t *testing.T) {
	set := testSettings()
	set.Sources, set.MaxMovingFraction = []string{"file"}, 1
	const members = 8
	for range 20 {
		s := sequence{t, New(set)}
		s.step(1, Snapshot{Source: "file", Revision: "1", Servers: servers("p", members)}, " s1@1 s2@1 s3@1 s4@1 s5@1 s6@1 s7@1 s8@1")
		var apart []inventory.Server
		for i, m := range servers("p", members) {
			m.Pod = string(rune('a' + i))
			apart = append(apart, m)
		}
		s.step(2, Snapshot{Source: "file", Revision: "2", Servers: apart}, " s1~@1 s2~@1 s3~@1 s4~@1 s5~@1 s6~@1 s7~@1 s8~@1")
		s.step(2+set.PodHold, Tick{}, " s1@2 s2@3 s3@4 s4@5 s5@6 s6@7 s7@8 s8@9")
		if t.Failed() {
			return
		}
	}
}
