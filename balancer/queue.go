package balancer

import (
	"math"
	"slices"
	"sort"
)

const (
	// sweepInterval, in ms, is the interval at which queued requests are dispatched.
	sweepInterval = 10.0
	// maxPlacementFailures is the number of requests without a suitable server after which the servers
	// count as full until the clock advances. Trying further requests would only cost CPU.
	maxPlacementFailures = 4
)

// requestQueue holds the requests that are waiting for a server.
type requestQueue struct {
	waiting             []*request
	sweepScheduled      bool
	placementFailuresAt Millis // the time to which placementFailures applies
	placementFailures   int    // requests without a suitable server at that time
	// fastest caches the shortest time in which any server serves a request of mean work, for requests
	// without an attempt that may have run: all ready servers are eligible for them. It is valid only at
	// the time fastestAt.
	fastest   Millis
	fastestAt Millis
}

func (b *Balancer) enqueue(r *request) {
	r.queued = true
	b.queue.waiting = append(b.queue.waiting, r)
}

// scheduleSweep sets the timer for the next dispatch if requests are queued.
func (b *Balancer) scheduleSweep() {
	if b.queue.sweepScheduled || len(b.queue.waiting) == 0 {
		return
	}
	b.queue.sweepScheduled = true
	b.emit(SetTimer{timerSweep, b.now + sweepInterval})
}

// dispatchQueue sends the queued requests to servers, highest marginal value first. It rejects requests
// that can't meet their latency objective.
func (b *Balancer) dispatchQueue() {
	if len(b.queue.waiting) == 0 {
		return
	}
	// Scores are updated only when a request needs them, since a node may be idle for many intervals.
	if b.now >= b.scoredAt+scoreInterval {
		b.updateScores()
	}
	if b.queue.placementFailuresAt != b.now {
		b.queue.placementFailuresAt = b.now
		b.queue.placementFailures = 0
	}
	probing := slices.ContainsFunc(b.servers.ready, func(s *server) bool { return s.load.probePending })
	workAhead := 0.0
	for _, r := range b.takeQueueByPriority() {
		if r.finished {
			continue
		}
		if probing && b.now < r.probesUntil {
			b.queue.waiting = append(b.queue.waiting, r)
			continue
		}
		if b.tryToPlace(r) {
			continue
		}
		if b.cannotMeetObjective(r, workAhead) {
			b.rejectOrFail(r, b.noPlacementReason())
			continue
		}
		if b.now > r.probesUntil+probeAgainAfter*b.estimate.unitTime {
			b.sendLoadProbes(r)
		}
		workAhead += r.work
		b.queue.waiting = append(b.queue.waiting, r)
	}
	b.scheduleSweep()
}

// takeQueueByPriority empties the queue and returns its requests, highest marginal value first.
func (b *Balancer) takeQueueByPriority() []*request {
	queue := b.queue.waiting
	b.queue.waiting = nil
	for _, r := range queue {
		r.priority = b.marginalValue(r)
	}
	sort.SliceStable(queue, func(i, j int) bool { return queue[i].priority > queue[j].priority })
	return queue
}

// tryToPlace sends a request to a server if one is suitable, and reports whether it did.
func (b *Balancer) tryToPlace(r *request) bool {
	if b.queue.placementFailures >= maxPlacementFailures {
		return false
	}
	if s := b.pickServer(r); s != nil {
		b.startAttempt(r, s)
		return true
	}
	if !r.mayHaveRun { // a request bound to a dedup scope without usable servers must not block the others
		b.queue.placementFailures++
	}
	return false
}

// cannotMeetObjective reports whether a queued request can't meet its objective, given the work of the
// requests ahead of it. Early rejection saves server capacity, and the client can retry at another node.
func (b *Balancer) cannotMeetObjective(r *request, workAhead float64) bool {
	best, servers := b.fastestFor(r)
	if servers == 0 {
		return true
	}
	timePerServer := workAhead * b.estimate.unitTime * float64(b.fleet.size) / float64(servers)
	wait := timePerServer / math.Round(b.estimate.parallelism)
	limit := min(b.idleServerTimeFraction()*b.timeToObjective(r), idleTimeFraction*r.class.protectedObjective)
	return wait+best > limit
}

// noPlacementReason returns why a queued request can't be sent to any server in time.
func (b *Balancer) noPlacementReason() RejectReason {
	if len(b.servers.ready) == 0 {
		return NoServers
	}
	return NoCapacity
}

// fastestFor returns the shortest time that a request would take at any eligible server, and the number
// of eligible servers.
func (b *Balancer) fastestFor(r *request) (best Millis, servers int) {
	cached := !r.mayHaveRun && b.queue.fastestAt == b.now
	if cached && len(b.servers.ready) > 0 {
		return b.queue.fastest * r.work, len(b.servers.ready)
	}
	best = math.Inf(1)
	for _, s := range b.servers.ready {
		// A request that may have run may be bound to a dedup scope. It must not wait for the servers there
		// if all are ejected or were tried.
		unusable := r.mayHaveRun && (s.outlier.ejected || r.triedServer(s))
		if b.eligible(r, s) && !unusable {
			best = min(best, b.estimatedUnitTime(s)*r.work)
			servers++
		}
	}
	if servers > 0 && !r.mayHaveRun {
		b.queue.fastest = best / r.work
		b.queue.fastestAt = b.now
	}
	return best, servers
}
