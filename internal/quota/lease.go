package quota

import (
	"slices"
	"time"
)

const (
	// clockDrift is by how much the rates of two machines' clocks may differ. Ordinary ones differ by a ten-thousandth, and a
	// clock that is being corrected runs wrong by a two-thousandth.
	clockDrift = 0.05

	// renewalsPerLease are asked for, so that the loss of some in a row costs nothing.
	renewalsPerLease = 4

	// maxPendingRenewals are remembered for each lessor until they are granted.
	maxPendingRenewals = 8
)

// lessorTerm is how long a lessor leaves a unit alone after a grant: the lessee's span by a clock that may run faster.
func lessorTerm(leaseTTL time.Duration) time.Duration {
	return time.Duration(float64(leaseTTL)*(1+clockDrift)/(1-clockDrift)) + time.Millisecond
}

// renewal is a request for a lease that has not been granted yet.
type renewal struct {
	seq           uint32
	sentAt        time.Duration
	forGeneration uint64
}

// lessor is a member from which this process leases some of its own units.
type lessor struct {
	name        string
	units       int
	seen        uint64        // generation of its process as last seen; 0: none
	boundTo     uint64        // generation of the process that has granted; 0: none
	leasedUntil time.Duration // by this process's clock
	ended       bool          // the process that granted has ended, and no later one has been asked: the units are this process's alone
	pending     []renewal
	renewAt     time.Duration
}

// leased reports whether this process may use the lessor's units.
func (l *lessor) leased(now time.Duration) bool { return l.ended || now < l.leasedUntil }

// canBeAsked reports whether there is a process to ask.
func (l *lessor) canBeAsked() bool {
	if l.ended {
		return l.seen > l.boundTo // a later one than the one that has ended
	}
	return l.seen != 0
}

// processSeen records a running process of the lessor. If it is a later one than the one that granted, that one has ended. The
// later one grants nothing before it has run for a lessor's term, and until it is asked nothing changes hands, so this process
// waits as long before it asks.
func (l *lessor) processSeen(now time.Duration, generation uint64, leaseTTL time.Duration) {
	if generation <= l.seen {
		return
	}
	l.seen = generation
	l.renewAt = now
	if l.boundTo != 0 && generation > l.boundTo {
		l.ended = true
		l.renewAt = now + lessorTerm(leaseTTL) + leaseTTL/renewalsPerLease
	}
}

// renew records a request for a lease.
//
// A later process of the lessor may count on what it hears from this one from the first request on. So that request ends the
// right that rested on the earlier process's end: from here on this process has the units for one more lease, and no longer.
func (l *lessor) renew(now time.Duration, seq uint32, leaseTTL time.Duration) {
	if l.ended {
		l.ended = false
		l.boundTo = 0
		l.leasedUntil = now + leaseTTL
	}
	l.renewAt = now + leaseTTL/renewalsPerLease
	if len(l.pending) == maxPendingRenewals {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, renewal{seq: seq, sentAt: now, forGeneration: l.seen})
}

// granted extends the lease, from the moment at which it was asked for.
func (l *lessor) granted(generation uint64, seq uint32, leaseTTL time.Duration) {
	at := slices.IndexFunc(l.pending, func(r renewal) bool { return r.seq == seq && r.forGeneration == generation })
	if at < 0 || l.ended {
		return
	}
	if l.boundTo == 0 {
		l.boundTo = generation
	}
	if l.boundTo == generation {
		l.leasedUntil = max(l.leasedUntil, l.pending[at].sentAt+leaseTTL)
	}
	l.pending = slices.Delete(l.pending, at, at+1)
}

// lessee is a member that leases some of its units from this process.
type lessee struct {
	name       string
	units      int
	generation uint64        // of the process that leased last; 0: none
	grantedAt  time.Duration // the last time
	ended      bool          // that process has ended
}

// mayLease reports whether a process may be granted a lease: the one that has it while it runs, or a later one.
func (l *lessee) mayLease(generation uint64) bool {
	if generation == l.generation {
		return !l.ended
	}
	return generation > l.generation
}

func (l *lessee) grant(now time.Duration, generation uint64) {
	l.generation = generation
	l.grantedAt = now
	l.ended = false
}

// lapsed reports whether this process may use the lessee's units. Units that nobody has leased yet are the lessee's.
func (l *lessee) lapsed(now, leaseTTL time.Duration) bool {
	if l.generation == 0 {
		return false
	}
	return l.ended || now-l.grantedAt > lessorTerm(leaseTTL)
}
