package upstream

import (
	"time"

	"tackhub.example/tackhub/balancer"
)

// A server may send a second answer, or other unsolicited bytes, some milliseconds after an answer. If they cross the next request on their
// way, the node reads them as the answer to that request, and each later answer of the connection as the answer to the request after its
// own. Such an answer comes sooner after its request than any answer to it can. A connection with an answer that came much sooner than all
// earlier ones of its server is therefore suspect: it rests until the answer that is still to come, if there is one, must have arrived.
// Without further bytes the answer was a genuine one.

const (
	// suspectDivisor is how many times sooner than the shortest answer time of its server an answer must come to make its connection
	// suspect. Servers become faster by a smaller factor from one answer to the next.
	suspectDivisor = 4

	// minAnswers is the number of answers of a server before one can count as much sooner than all earlier ones: the first ones may be
	// slow for reasons that pass.
	minAnswers = 8

	// suspectMeans is how long a suspect connection rests, in mean answer times of its server.
	suspectMeans = 4

	// longReuseDelay replaces reuseDelay for the connections to a server that has sent unsolicited bytes on an idle connection, until
	// longReuseTime has passed without any more.
	longReuseDelay = 4 * reuseDelay
	longReuseTime  = 30 * time.Second

	// maxSuspectRest bounds the rest of a suspect connection.
	maxSuspectRest = 2 * time.Second

	// answerTimeSmoothing is the weight of a new sample in the mean answer time.
	answerTimeSmoothing = 0.125
)

// answerTimes are the times from the end of writing a request to the first byte of its answer, of one server.
type answerTimes struct {
	count    int // of genuine answers, up to minAnswers
	shortest time.Duration
	mean     time.Duration

	unsolicitedAt time.Time // when the server last sent unsolicited bytes on an idle connection; zero: never
}

// add adds the time of a genuine answer.
func (a *answerTimes) add(took time.Duration) {
	a.count = min(a.count+1, minAnswers)
	if a.mean == 0 {
		a.shortest = took
		a.mean = took
		return
	}
	a.shortest = min(a.shortest, took)
	a.mean += time.Duration(answerTimeSmoothing * float64(took-a.mean))
}

// isTooSoon reports whether an answer came so much sooner than all earlier ones that it may belong to another request. It does not matter
// if answers take no longer than the ordinary rest of a connection, since the one to come is then found before the next use.
func (a *answerTimes) isTooSoon(took time.Duration) bool {
	return a.count == minAnswers && a.mean > reuseDelay && took < a.shortest/suspectDivisor
}

// recordAnswer records the time of a successful answer on a connection, or marks the connection as suspect if the answer came too soon.
func (p *Pool) recordAnswer(c *conn, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	times := p.answerTimesOf(c.server)
	if !times.isTooSoon(took) {
		times.add(took)
		return
	}
	c.suspectTime = took
	c.suspectUntil = time.Now().Add(min(suspectMeans*times.mean, maxSuspectRest))
	p.options.Counters.Servers.Suspect.Inc()
}

// recordUnsolicited records that a server has sent unsolicited bytes on an idle connection.
func (p *Pool) recordUnsolicited(id balancer.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerTimesOf(id).unsolicitedAt = time.Now()
	p.options.Counters.Servers.Unsolicited.Inc()
}

// reuseDelayOf returns how long the connections to a server rest after an answer. The caller must hold p.mu.
func (p *Pool) reuseDelayOf(id balancer.ServerID) time.Duration {
	times := p.answerTimes[id]
	if times != nil && !times.unsolicitedAt.IsZero() && time.Since(times.unsolicitedAt) < longReuseTime {
		return longReuseDelay
	}
	return reuseDelay
}

// clearSuspect ends the rest of a connection on which no further bytes have arrived.
func (p *Pool) clearSuspect(c *conn) {
	if c.suspectUntil.IsZero() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerTimesOf(c.server).add(c.suspectTime)
	c.suspectUntil = time.Time{}
}

// answerTimesOf returns the answer times of a server. The caller must hold p.mu.
func (p *Pool) answerTimesOf(id balancer.ServerID) *answerTimes {
	times := p.answerTimes[id]
	if times == nil {
		times = &answerTimes{}
		p.answerTimes[id] = times
	}
	return times
}

// isSuspect reports whether the connection still rests because of its last answer.
func (c *conn) isSuspect() bool { return time.Now().Before(c.suspectUntil) }
