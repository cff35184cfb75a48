package balancer

const (
	// failureGain is the fraction by which a failure moves a failure rate toward 1. A single failure
	// may be chance; two in a row are evidence of a fault.
	failureGain = 0.35
	// successGain is the fraction by which a success moves a failure rate toward 0. It is smaller than
	// failureGain, so that one failure is offset only by many successes.
	successGain = 0.1
	// faultyClassRate is the failure rate at or above which a class is considered to fail at a server.
	// One failure reaches it; after two in a row, the rate stays above it for several successes.
	faultyClassRate = 0.3
	// healthyOtherDivisor sets the failure rate below which another class or zone counts as healthy. The
	// limit for a class is faultyClassRate divided by it, the limit for a zone is the failing zone's
	// rate divided by it.
	healthyOtherDivisor = 3
	// classFailureTimeConstant, in ms, is the time constant with which the failure rate of a class at
	// a server decays.
	classFailureTimeConstant = 3 * ejectionTime
	// unreachableZoneRate is the rate of unanswered attempts at or above which a zone may be unreachable.
	unreachableZoneRate = 0.5
	// connectTimeoutFraction is the fraction of the connect timeout after which a failed connection
	// counts as unanswered. An earlier failure is a refused connection, which shows that the zone is
	// reachable.
	connectTimeoutFraction = 0.9
)

// failureRate is a smoothed failure rate: of the requests of one class at one server, or of the
// attempts to one zone, where only an unanswered attempt counts as a failure.
type failureRate struct {
	rate      float64 // rate from 0 to 1, as of updatedAt
	observed  bool    // at least one outcome was recorded
	logged    bool    // only for a zone: a log line has reported that it is avoided
	updatedAt Millis
}

func (f *failureRate) recordFailure() { f.rate += failureGain * (1 - f.rate) }

func (f *failureRate) recordSuccess() { f.rate -= successGain * f.rate }

// decayed returns the rate at the time now, after exponential decay with the given time constant.
func (f *failureRate) decayed(now, timeConstant Millis) float64 {
	return f.rate * exponential(-(now-f.updatedAt)/timeConstant)
}

// classFailure returns the failure rate record of a class at this server, which it creates if needed.
func (s *server) classFailure(c *classState) *failureRate {
	for len(s.classFailures) <= c.index {
		s.classFailures = append(s.classFailures, failureRate{})
	}
	return &s.classFailures[c.index]
}

// classFailureRate returns the rate at which requests of a class fail at a server. It decays slowly,
// with classFailureTimeConstant. A server may fail one class and serve another well. In this case the
// picker multiplies the rate by the class's latency objective and adds it to the placement cost.
func (b *Balancer) classFailureRate(s *server, c *classState) float64 {
	record := s.classFailure(c)
	if record.rate == 0 {
		return 0
	}
	return record.decayed(b.now, classFailureTimeConstant)
}

// recordClassOutcome updates the failure rate of a class at a server and reports whether the outcome
// is a failure limited to that class (see classFault). Such a failure is not counted against the
// server, because that would eject a server that serves all other classes well.
func (b *Balancer) recordClassOutcome(s *server, c *classState, outcome Outcome) (classOnly bool) {
	if outcome == Overloaded || outcome == Cancelled {
		return false
	}
	record := s.classFailure(c)
	record.rate = b.classFailureRate(s, c)
	record.observed = true
	record.updatedAt = b.now
	if outcome == OK {
		record.recordSuccess()
		return false
	}
	record.recordFailure()
	return b.classFault(s, c)
}

// classFault reports whether a class fails at a server that serves another class well.
func (b *Balancer) classFault(s *server, c *classState) bool {
	if b.classFailureRate(s, c) < faultyClassRate {
		return false
	}
	for i := range s.classFailures {
		other := &s.classFailures[i]
		if i != c.index && other.observed && other.rate < faultyClassRate/healthyOtherDivisor {
			return true
		}
	}
	return false
}

// zoneRecord returns the failure rate record of a zone as seen from this node, which it creates if
// needed.
func (b *Balancer) zoneRecord(name string) *failureRate {
	if b.zones[name] == nil {
		b.zones[name] = &failureRate{}
	}
	return b.zones[name]
}

// recordZoneOutcome records whether a server's zone answered an attempt. A rejection and an error
// are answers too.
func (b *Balancer) recordZoneOutcome(s *server, outcome Outcome, elapsed Millis) {
	record := s.zoneFailures
	record.rate = b.zoneUnansweredRate(record)
	record.observed = true
	record.updatedAt = b.now
	connectTimedOut := outcome == Unreachable && elapsed >= connectTimeoutFraction*b.settings.ConnectTimeout
	if outcome == TimedOut || connectTimedOut {
		record.recordFailure()
	} else {
		record.recordSuccess()
	}
}

// zoneUnansweredRate returns the rate of unanswered attempts to a zone. It decays with the same time
// constant as the unit time of an unused server.
func (b *Balancer) zoneUnansweredRate(zone *failureRate) float64 {
	return zone.decayed(b.now, staleTimeConstant)
}

// zoneFailureRate returns the rate of unanswered attempts to a zone if the zone appears to be down or
// unreachable from this node: its rate is high while another zone answers. Otherwise it returns 0. The
// picker uses it to raise the cost of all servers of the zone. Without this, a node that contacts each
// server only once in several seconds would wait for a timeout at each of them in turn.
func (b *Balancer) zoneFailureRate(zone *failureRate) float64 {
	if zone.rate < unreachableZoneRate {
		return 0
	}
	unanswered := b.zoneUnansweredRate(zone)
	if unanswered < unreachableZoneRate/2 {
		return 0
	}
	for _, other := range b.zones {
		if other.observed && b.zoneUnansweredRate(other) < unanswered/healthyOtherDivisor {
			return unanswered
		}
	}
	return 0
}
