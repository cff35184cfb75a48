package quota

import (
	"slices"
	"time"
)

const (
	// clockDrift is the allowed relative difference between the rates of two machines' clocks. Ordinary clocks differ by 0.0001; a
	// clock that is being slewed is off by 0.0005.
	clockDrift = 0.05

	// renewalsPerLease is the number of renewals requested within one lease, so that a lease survives the loss of several in a row.
	renewalsPerLease = 4

	// maxPendingRenewals limits the renewals remembered for each lessor until they are granted.
	maxPendingRenewals = 8
)

// lessorLeaseTTL returns how long a lessor must not use a unit after a grant: the lessee's LeaseTTL as measured by a lessor's clock
// that runs faster than the lessee's by the allowed drift.
func lessorLeaseTTL(leaseTTL time.Duration) time.Duration {
	return time.Duration(float64(leaseTTL)*(1+clockDrift)/(1-clockDrift)) + time.Millisecond
}

// renewal is a lease request that has not been granted yet.
type renewal struct {
	seq           uint32
	sentAt        time.Duration
	forGeneration uint64
}

// lessor is the state of the units that this process leases from one other member.
type lessor struct {
	name              string
	units             int
	seenGeneration    uint64        // highest generation seen of the lessor's processes; 0: none seen
	grantorGeneration uint64        // generation of the process that granted the lease; 0: none
	leasedUntil       time.Duration // expiry of the lease by this process's clock
	processEnded      bool          // the grantor has ended and no later process has been sent a request, so the lease cannot expire
	pending           []renewal
	renewAt           time.Duration
}

// leased reports whether this process may use the units that it leases from the lessor.
func (l *lessor) leased(now time.Duration) bool { return l.processEnded || now < l.leasedUntil }

// canRequestRenewal reports whether a running process of the lessor is known.
func (l *lessor) canRequestRenewal() bool {
	if l.processEnded {
		return l.seenGeneration > l.grantorGeneration // a later process than the ended grantor
	}
	return l.seenGeneration != 0
}

// processSeen records a running process of the lessor. A process with a higher generation than the grantor's proves that the grantor
// has ended. The later process grants nothing in its first lessorLeaseTTL. This process keeps the units until it sends its first
// request to the later process, so processSeen delays that request by more than lessorLeaseTTL.
func (l *lessor) processSeen(now time.Duration, generation uint64, leaseTTL time.Duration) {
	if generation <= l.seenGeneration {
		return
	}
	l.seenGeneration = generation
	l.renewAt = now
	if l.grantorGeneration != 0 && generation > l.grantorGeneration {
		l.processEnded = true
		l.renewAt = now + lessorLeaseTTL(leaseTTL) + leaseTTL/renewalsPerLease
	}
}

// recordRequest records that a renewal was sent to the lessor.
//
// If the grantor has ended, this process used the units without an expiry. The first request to a later process of the lessor ends
// that: the later process can grant the request, and uses the units itself when the granted lease has expired. So this process may
// use them for one more leaseTTL only, unless the lease is renewed.
func (l *lessor) recordRequest(now time.Duration, seq uint32, leaseTTL time.Duration) {
	if l.processEnded {
		l.processEnded = false
		l.grantorGeneration = 0
		l.leasedUntil = now + leaseTTL
	}
	l.renewAt = now + leaseTTL/renewalsPerLease
	if len(l.pending) == maxPendingRenewals {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, renewal{seq: seq, sentAt: now, forGeneration: l.seenGeneration})
}

// extendLease handles a grant: it extends the lease to leaseTTL after the time at which the renewal was sent.
func (l *lessor) extendLease(generation uint64, seq uint32, leaseTTL time.Duration) {
	index := slices.IndexFunc(l.pending, func(r renewal) bool { return r.seq == seq && r.forGeneration == generation })
	if index < 0 || l.processEnded {
		return
	}
	if l.grantorGeneration == 0 {
		l.grantorGeneration = generation
	}
	if l.grantorGeneration == generation {
		l.leasedUntil = max(l.leasedUntil, l.pending[index].sentAt+leaseTTL)
	}
	l.pending = slices.Delete(l.pending, index, index+1)
}

// lessee is the state of the units that one other member leases from this process.
type lessee struct {
	name         string
	units        int
	generation   uint64        // generation of the process that was granted the latest lease; 0: none
	grantedAt    time.Duration // time of the latest grant
	processEnded bool          // the process of that generation has ended
}

// canGrant reports whether a process of the lessee may be granted a lease: the process that had the latest lease unless it has
// ended, or a later one.
func (l *lessee) canGrant(generation uint64) bool {
	if generation == l.generation {
		return !l.processEnded
	}
	return generation > l.generation
}

// recordGrant records that a lease was granted to a process of the lessee.
func (l *lessee) recordGrant(now time.Duration, generation uint64) {
	l.generation = generation
	l.grantedAt = now
	l.processEnded = false
}

// leaseEnded reports whether a lease was granted and is over, in which case this process may use the units. Units that have never
// been leased remain reserved for the lessee.
func (l *lessee) leaseEnded(now, leaseTTL time.Duration) bool {
	if l.generation == 0 {
		return false
	}
	return l.processEnded || now-l.grantedAt > lessorLeaseTTL(leaseTTL)
}
