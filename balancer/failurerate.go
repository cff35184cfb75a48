package balancer

import "math"

const (
	// failureGain is how far one failure moves a failure share toward 1: one is a warning, two are
	// believed.
	failureGain = 0.35
	// successGain is how far one success moves it toward 0: many are needed to forget a failure.
	successGain = 0.1
	// faultyClassShare is the failure share from which a class is taken to fail at a server: one
	// failure reaches it, two keep it.
	faultyClassShare = 0.3
	// healthyOtherDivisor: another class or zone is served well if its share is under this part of the
	// failing one's, or of the one from which a class fails.
	healthyOtherDivisor = 3
	// classFailureTimeConstant, in ms, is the time constant with which a class's failures at a
	// server are forgotten.
	classFailureTimeConstant = 3 * ejectionTime
	// silentZoneShare is the share of unanswered attempts from which a zone may be unreachable.
	silentZoneShare = 0.5
	// connectSilenceFraction is the part of the connect timeout after which a failed connection
	// counts as silence. An earlier failure is a refused connection, which shows that the zone is
	// reachable.
	connectSilenceFraction = 0.9
)

// failureRate is a smoothed share of failures: of one class at one server, or of attempts to one
// zone that nothing came back from.
type failureRate struct {
	share     float64 // 0 to 1, as of updatedAt
	observed  bool    // at least one outcome was recorded
	logged    bool    // a log line says that the zone is avoided
	updatedAt Millis
}

func (f *failureRate) recordFailure() { f.share += failureGain * (1 - f.share) }

func (f *failureRate) recordSuccess() { f.share -= successGain * f.share }

// decayed is the share as it counts now, forgotten with the given time constant.
func (f *failureRate) decayed(now, memory Millis) float64 {
	return f.share * math.Exp(-(now-f.updatedAt)/memory)
}

// classFailure is the failure record of a class at this server.
func (s *server) classFailure(c *classState) *failureRate {
	for len(s.classFailures) <= c.index {
		s.classFailures = append(s.classFailures, failureRate{})
	}
	return &s.classFailures[c.index]
}

// classFailureShare is the share of a class's requests that fail at a server, forgotten slowly. The
// picker prices it as time, since a server may fail one class and serve the others well.
func (b *Balancer) classFailureShare(s *server, c *classState) float64 {
	record := s.classFailure(c)
	if record.share == 0 {
		return 0
	}
	return record.decayed(b.now, classFailureTimeConstant)
}

// recordClassOutcome records an outcome for its class and reports whether the fault is the class's
// own at this server (classFault). Such a failure says nothing about the server: counting it would
// eject a server that is good for all other classes.
func (b *Balancer) recordClassOutcome(s *server, c *classState, outcome Outcome) (classOnly bool) {
	if outcome == Overloaded || outcome == Cancelled {
		return false
	}
	record := s.classFailure(c)
	record.share = b.classFailureShare(s, c)
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
	if b.classFailureShare(s, c) < faultyClassShare {
		return false
	}
	for i := range s.classFailures {
		other := &s.classFailures[i]
		if i != c.index && other.observed && other.share < faultyClassShare/healthyOtherDivisor {
			return true
		}
	}
	return false
}

// zoneRecord is the record of a zone as seen from this node.
func (b *Balancer) zoneRecord(name string) *failureRate {
	if b.zones[name] == nil {
		b.zones[name] = &failureRate{}
	}
	return b.zones[name]
}

// recordZoneOutcome records whether anything came back from a server's zone. A rejection or an
// error did.
func (b *Balancer) recordZoneOutcome(s *server, outcome Outcome, elapsed Millis) {
	record := s.zoneFailures
	record.share = b.zoneUnansweredShare(record)
	record.observed = true
	record.updatedAt = b.now
	connectTimedOut := outcome == Unreachable && elapsed >= connectSilenceFraction*b.settings.ConnectTimeout
	if outcome == TimedOut || connectTimedOut {
		record.recordFailure()
	} else {
		record.recordSuccess()
	}
}

// zoneUnansweredShare is the share of attempts to a zone that nothing came back from, forgotten as
// fast as the record of an unused server.
func (b *Balancer) zoneUnansweredShare(zone *failureRate) float64 {
	return zone.decayed(b.now, staleTimeConstant)
}

// zoneFailureShare is a zone's share of unanswered attempts while another zone answers; otherwise
// 0. The zone is then lost or cut off from here. A node that contacts each server once in several
// seconds would otherwise wait for a timeout at each of them in turn.
func (b *Balancer) zoneFailureShare(zone *failureRate) float64 {
	if zone.share < silentZoneShare {
		return 0
	}
	unanswered := b.zoneUnansweredShare(zone)
	if unanswered < silentZoneShare/2 {
		return 0
	}
	for _, other := range b.zones {
		if other.observed && b.zoneUnansweredShare(other) < unanswered/healthyOtherDivisor {
			return unanswered
		}
	}
	return 0
}
