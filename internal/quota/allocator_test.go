package quota

import (
	"testing"
	"time"
)

// injectFault injects a random fault into one member or into the network between all members. It calls check after resuming each
// paused process. If allowDuplicate is set, one member may get a second process at another address; duplicated is that member's name.
func (s *simulation) injectFault(duplicated *string, allowDuplicate bool, check func()) {
	name := s.names[s.rng.IntN(len(s.names))]
	p := s.runningProcess(name)
	switch s.rng.IntN(9) {
	case 0, 1:
		if p != nil && name != *duplicated {
			s.kill(p, s.rng.IntN(3) == 0)
		}
	case 2:
		if p == nil {
			s.startProcess(name, name+":1")
		}
	case 3:
		if p != nil {
			p.paused = true
		}
	case 4, 5:
		s.resumeAll(check)
	case 6:
		clear(s.cutLinks)
	case 7:
		for _, from := range s.names {
			for _, to := range s.names {
				s.cutLinks[[2]string{from, to}] = s.rng.IntN(3) == 0
			}
		}
	case 8:
		if p != nil && *duplicated == "" && allowDuplicate {
			*duplicated = name
			s.startProcess(name, name+":2")
		}
	}
}

// Guards against two processes using the same unit at once, which makes the sum of all allocations exceed the quota. The sum is
// checked after every event of 600 random schedules with kills, pauses, cut links, late and duplicated messages, and members with
// two processes.
func TestAllocationsNeverExceedQuotaUnderFaults(t *testing.T) {
	const rounding = 1e-9
	for seed := range uint64(600) {
		members := []int{2, 3, 5, 12}[seed%4]
		s := newSimulation(members, seed)
		check := func() {
			if sum := s.totalFraction(); sum > 1+rounding {
				t.Fatalf("%d members, seed %d: sum of fractions = %.4f at %v, want at most 1", members, seed, sum, s.now)
			}
		}
		s.run(12*time.Second, check)
		duplicated := ""
		for range 25 {
			s.injectFault(&duplicated, seed%3 == 0, check)
			s.run(time.Duration(s.rng.Int64N(int64(6*time.Second))), check)
		}
	}
}

// Guards against units being lost with a member. The units of a killed process pass to their lessors at once, those of a lost
// machine after the lease. A partitioned member has no leased units once its leases expire, and a restarted member gets its units
// back.
func TestUnitsPassToLessorsWhenMembersAreLost(t *testing.T) {
	for _, machineLost := range []bool{false, true} {
		s := newSimulation(10, 3)
		s.run(15*time.Second, func() {})
		if sum := s.totalFraction(); sum < 0.999 {
			t.Fatalf("sum of fractions without faults = %.3f, want at least 0.999", sum)
		}
		for i := range 6 {
			s.kill(s.runningProcess(s.names[i]), machineLost)
		}
		s.run(300*time.Millisecond, func() {})
		afterKill := s.totalFraction()
		s.run(10*time.Second, func() {})
		afterLease := s.totalFraction()
		t.Logf("six of ten members lost, machines lost %v: the other four have %.3f of the quota after 0.3 s and %.3f after 10.3 s",
			machineLost, afterKill, afterLease)
		if !machineLost && (afterKill < 0.6 || afterLease < afterKill-0.01) || machineLost && afterLease > 0.55 {
			t.Errorf("machines lost %v: sum of fractions = %.3f after 0.3 s, %.3f after 10.3 s; want >= 0.6 without a decrease (processes lost), second <= 0.55 (machines lost)",
				machineLost, afterKill, afterLease)
		}
		for i := range 6 {
			s.startProcess(s.names[i], s.names[i]+":1")
		}
		s.run(20*time.Second, func() {})
		if sum := s.totalFraction(); sum < 0.98 {
			t.Errorf("sum of fractions after all members restarted = %.3f, want at least 0.98", sum)
		}
		for _, other := range s.names {
			s.cutLinks[[2]string{"n00", other}] = true
		}
		s.run(10*time.Second, func() {})
		// The total stays below 1: n00 still receives requests and grants them, but its grants are lost.
		if isolated := s.runningProcess("n00").allocator; isolated.Status(s.runningProcess("n00").localTime(s)).UnitsLeased > 0 || s.totalFraction() < 0.9 {
			t.Errorf("partitioned member has status %+v, want UnitsLeased = 0; sum of fractions = %.3f, want at least 0.9",
				isolated.Status(s.runningProcess("n00").localTime(s)), s.totalFraction())
		}
	}
}

// Verifies that the check of the sum can fail: if the clocks differ by more than the allowed drift, the sum must exceed the quota.
func TestExcessiveClockDriftExceedsQuota(t *testing.T) {
	exceeded := false
	for seed := range uint64(20) {
		s := newSimulation(3, seed)
		for i, p := range s.processes {
			p.clockRate = 1 + float64(i) // the second and third clock run two and three times as fast as the first
		}
		s.run(12*time.Second, func() {})
		for _, from := range s.names {
			for _, to := range s.names {
				s.cutLinks[[2]string{from, to}] = true
			}
		}
		s.run(20*time.Second, func() { exceeded = exceeded || s.totalFraction() > 1+1e-9 })
	}
	if !exceeded {
		t.Error("sum of fractions never exceeded 1 with clock rates of 1, 2 and 3, want it to exceed 1")
	}
}

// Members with different lists must not grant each other leases, since a unit could then have two lessors. A lease that expires while
// its process is paused must be over when the process resumes.
func TestLeaseRequiresSameMemberListAndExpires(t *testing.T) {
	twoMembers := map[string]string{"a": "a:1", "b": "b:1"}
	threeMembers := map[string]string{"a": "a:1", "b": "b:1", "c": "c:1"}
	a := New(Options{Name: "a", Members: twoMembers, Generation: 1, LeaseTTL: leaseTTL}, 0)
	b := New(Options{Name: "b", Members: threeMembers, Generation: 2, LeaseTTL: leaseTTL}, 0)
	now := 10 * time.Second
	a.MemberSeen(now, "b", 2, "b:1")
	a.Tick(now)
	requests := a.TakeOutput()
	if len(requests) != 1 {
		t.Fatalf("renewal requests = %v, want one", requests)
	}
	renewal := IncomingMessage{Kind: Renew, From: "a", Generation: 1, Address: "a:1", ForGeneration: 2, Seq: requests[0].Seq, MembersHash: MembersHash(twoMembers)}
	b.Receive(now, renewal)
	if got := b.TakeOutput(); len(got) > 0 {
		t.Errorf("grants to a member with another list = %v, want none", got)
	}
	b = New(Options{Name: "b", Members: twoMembers, Generation: 2, LeaseTTL: leaseTTL}, 0)
	b.Receive(now, renewal)
	grants := b.TakeOutput()
	if len(grants) != 1 {
		t.Fatalf("grants = %v, want one", grants)
	}
	a.Receive(now, IncomingMessage{Kind: Grant, From: "b", Generation: 2, ForGeneration: grants[0].ForGeneration, Seq: grants[0].Seq})
	if allocation := a.Allocation(now + leaseTTL - 1); allocation.Fraction != 0.5 || allocation.ValidUntil != now+leaseTTL || allocation.FractionAfter != 0 {
		t.Errorf("allocation before the lease expires = %+v, want fraction 0.5 until the expiry and 0 after it", allocation)
	}
	if allocation := a.Allocation(now + leaseTTL); allocation.Fraction != 0 {
		t.Errorf("allocation when the lease expires = %+v, want fraction 0", allocation)
	}
}
