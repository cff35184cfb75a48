package balancer

import (
	"math"
	"slices"
	"sort"
)

const (
	// sweepInterval, in ms, is how often queued requests are looked at, while there are any.
	sweepInterval = 10.0
	// maxMissesPerSweep: after so many requests without a server at one time the servers are full,
	// and looking on only costs CPU.
	maxMissesPerSweep = 4
)

// requestQueue holds the requests that wait for a server.
type requestQueue struct {
	waiting        []*request
	sweepScheduled bool
	missedAt       Millis // when the last request found no server ...
	misses         int    // ... and how many did at that time
	// fastest caches the least time that any server takes for a request of mean work that may go to any
	// server. It is valid at fastestAt only.
	fastest   Millis
	fastestAt Millis
}

func (b *Balancer) enqueue(r *request) {
	r.queued = true
	b.queue.waiting = append(b.queue.waiting, r)
}

// scheduleSweep sets the timer by which queued requests are looked at again.
func (b *Balancer) scheduleSweep() {
	if b.queue.sweepScheduled || len(b.queue.waiting) == 0 {
		return
	}
	b.queue.sweepScheduled = true
	b.emit(SetTimer{timerSweep, b.now + sweepInterval})
}

// dispatchQueue sends the queued requests that can meet their objective, most valuable first, and
// rejects at once those that can't.
func (b *Balancer) dispatchQueue() {
	if len(b.queue.waiting) == 0 {
		return
	}
	// Only when a request needs the scores: most intervals of a node may see none.
	if b.now >= b.scoredAt+scoreInterval {
		b.updateScores()
	}
	if b.queue.missedAt != b.now {
		b.queue.missedAt = b.now
		b.queue.misses = 0
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
			b.rejectOrFail(r, NoCapacity)
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

// takeQueueByPriority empties the queue and returns its requests, most valuable first.
func (b *Balancer) takeQueueByPriority() []*request {
	queue := b.queue.waiting
	b.queue.waiting = nil
	for _, r := range queue {
		r.priority = b.marginalValue(r)
	}
	sort.SliceStable(queue, func(i, j int) bool { return queue[i].priority > queue[j].priority })
	return queue
}

// tryToPlace sends a request to a server, if one is to be had.
func (b *Balancer) tryToPlace(r *request) bool {
	if b.queue.misses >= maxMissesPerSweep {
		return false
	}
	if s := b.pickServer(r); s != nil {
		b.startAttempt(r, s)
		return true
	}
	if !r.mayHaveRun { // a request bound to a lost dedup scope must not keep the others from being looked at
		b.queue.misses++
	}
	return false
}

// cannotMeetObjective reports whether a queued request can't meet its objective behind so much work
// of other requests. Rejecting it early spares the servers, and its client can retry elsewhere.
func (b *Balancer) cannotMeetObjective(r *request, workAhead float64) bool {
	best, servers := b.fastestFor(r)
	if servers == 0 {
		return true
	}
	perServer := workAhead * b.estimate.unitTime * float64(b.fleet.size) / float64(servers)
	wait := perServer / math.Round(b.estimate.parallelism)
	limit := min(b.idleServerTimeFraction()*b.timeToObjective(r), idleTimeFraction*r.class.protectedObjective)
	return wait+best > limit
}

// fastestFor is the least time that a request would take at any server that it may go to, and how
// many those are.
func (b *Balancer) fastestFor(r *request) (best Millis, servers int) {
	sameForAll := !r.mayHaveRun && b.queue.fastestAt == b.now // for all that may go anywhere
	if sameForAll && len(b.servers.ready) > 0 {
		return b.queue.fastest * r.work, len(b.servers.ready)
	}
	best = math.Inf(1)
	for _, s := range b.servers.ready {
		// The dedup scope of a request that may have run may be lost as a whole.
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
