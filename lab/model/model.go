// Package model computes the behaviour of the lab's simulated servers: a queue in front of the cores, a slow start, a
// slow mode after a long queue, and pods that drop repeated requests. The package is pure: it takes times and
// requests and returns completions. Package backend adds the sockets. docs/lab.md describes the model in enough detail to
// compute small cases by hand.
package model

import "math"

// Millis is a time or a duration in milliseconds.
type Millis = float64

// Params configure one server.
type Params struct {
	Cores    int     // requests executed at the same time
	Speed    float64 // ms of Request.Work that one core does per ms
	QueueMax int     // queue length at which new requests are rejected; 0: no limit

	// Slow mode: after more than SlowdownQueueDepth requests per core have been queued for SlowdownDelay, every request that
	// starts takes SlowdownFactor times as long, until the queue has been empty for SlowdownRecovery.
	SlowdownQueueDepth float64 // 0: no slow mode
	SlowdownDelay      Millis
	SlowdownFactor     float64
	SlowdownRecovery   Millis

	// Slow start: a server starts at the fraction InitialSpeed of its full speed, and its speed increases linearly to full speed
	// during SlowStartDuration. It crashes if the work that arrives within CollapseWindow exceeds CollapseMultiple times the
	// work that it can do in that window.
	InitialSpeed      float64
	SlowStartDuration Millis
	CollapseMultiple  float64
	CollapseWindow    Millis

	Window Millis // how long the pod remembers an idempotency key
}

// Request is a request that arrives at a server.
type Request struct {
	ID     uint64 // identifies this attempt; assigned by the lab
	Work   Millis // execution time on one core at speed 1
	Key    string // idempotency key; empty if repeats are executed
	Broken bool   // it is executed and ends with an error
}

// Verdict is what a server does with an arriving request.
type Verdict int

// The verdicts.
const (
	Accepted   Verdict = iota // it is queued or started
	Duplicate                 // the pod remembers its key: it is answered at once and not executed
	QueueFull                 // rejected: the queue is full
	PodLimited                // rejected: the limit of the pod is reached
	Draining                  // rejected: the server is draining
	NotRunning                // the process of the server does not run
)

// Completion is a request that was executed.
type Completion struct {
	Request Request
	Arrived Millis
	Started Millis
	At      Millis // when it was completed
}

// Pod is a group of servers that drop repeated requests together and may share a limit of requests in flight.
type Pod struct {
	Limit  int    // requests in flight in all its servers; 0: no limit
	Window Millis // how long an idempotency key is remembered

	inFlight  int
	keyExpiry map[string]Millis // by key: when it expires
	order     []string          // keys, oldest first; they expire in this order
}

// NewPod returns a pod. limit bounds the requests in flight in all its servers; 0 means no limit. window is how long an
// idempotency key is remembered.
func NewPod(limit int, window Millis) *Pod {
	return &Pod{Limit: limit, Window: window, keyExpiry: map[string]Millis{}}
}

// checkAndRecordKey reports whether a key is still remembered, and records it if it is not.
func (p *Pod) checkAndRecordKey(now Millis, key string) bool {
	for len(p.order) > 0 && p.keyExpiry[p.order[0]] <= now {
		delete(p.keyExpiry, p.order[0])
		p.order = p.order[1:]
	}
	if _, known := p.keyExpiry[key]; known {
		return true
	}
	p.keyExpiry[key] = now + p.Window
	p.order = append(p.order, key)
	return false
}

// Server is the state of one server.
type Server struct {
	params    Params
	pod       *Pod
	started   Millis // -Inf: long ago, so that its slow start is over
	slowdown  float64
	suspended bool // it keeps its requests and executes nothing
	draining  bool
	down      bool

	queue           []job
	running         []job
	slow            bool   // it is in slow mode
	overDepthSince  Millis // since when the queue has been longer than SlowdownQueueDepth per core; NaN: it is not
	queueEmptySince Millis // since when the queue has been empty; NaN: it is not

	justStarted []Request // requests that started since the last TakeStarted

	offeredWork   slidingSum // work that arrived within CollapseWindow during the slow start
	possibleWork  slidingSum // work that it could have done in the same window
	lastMeteredAt Millis
	collapsed     bool
}

// job is an accepted request.
type job struct {
	request Request
	arrived Millis
	started Millis
	ends    Millis
}

// NewServer returns a server that started at the given time; math.Inf(-1) means that its slow start is over.
func NewServer(p Params, pod *Pod, started Millis) *Server {
	s := &Server{params: p, pod: pod, started: started, slowdown: 1, overDepthSince: math.NaN(), queueEmptySince: 0, lastMeteredAt: started}
	s.offeredWork.span, s.possibleWork.span = p.CollapseWindow, p.CollapseWindow
	return s
}

// SlowStartFactor returns the fraction of its full speed that the server has at the given time of its slow start, and 1 after it.
func (s *Server) SlowStartFactor(now Millis) float64 {
	age := now - s.started
	if math.IsInf(s.started, -1) || age >= s.params.SlowStartDuration || s.params.SlowStartDuration <= 0 {
		return 1
	}
	return s.params.InitialSpeed + (1-s.params.InitialSpeed)*max(0, age)/s.params.SlowStartDuration
}

// capacity returns the work that all cores together do per millisecond.
func (s *Server) capacity(now Millis) float64 {
	v := float64(s.params.Cores) * s.params.Speed * s.SlowStartFactor(now) / s.slowdown
	if s.slow {
		v /= s.params.SlowdownFactor
	}
	return v
}

// InFlight returns the number of requests that are queued or being executed.
func (s *Server) InFlight() int { return len(s.queue) + len(s.running) }

// Queued returns the number of requests that no core has started.
func (s *Server) Queued() int { return len(s.queue) }

// Slow reports whether the server is in slow mode.
func (s *Server) Slow() bool { return s.slow }

// Collapsed reports whether the server crashed because it was overloaded during its slow start.
func (s *Server) Collapsed() bool { return s.collapsed }

// Arrive offers a request to the server. The caller must have advanced the server to now with Advance.
func (s *Server) Arrive(now Millis, r Request) Verdict {
	if s.down {
		return NotRunning
	}
	s.recordOffered(now, r.Work)
	switch {
	case s.down:
		return NotRunning
	case s.draining:
		return Draining
	case s.params.QueueMax > 0 && len(s.queue) >= s.params.QueueMax:
		return QueueFull
	case s.pod.Limit > 0 && s.pod.inFlight >= s.pod.Limit:
		return PodLimited
	case r.Key != "" && s.pod.checkAndRecordKey(now, r.Key):
		return Duplicate
	}
	s.pod.inFlight++
	s.queue = append(s.queue, job{request: r, arrived: now})
	s.startQueued(now)
	s.updateSlowMode(now)
	return Accepted
}

// recordOffered measures the work that arrives during the slow start, and crashes the server if that exceeds the limit.
func (s *Server) recordOffered(now Millis, work Millis) {
	if s.params.CollapseMultiple <= 0 || s.SlowStartFactor(now) >= 1 {
		return
	}
	elapsed := min(now-s.lastMeteredAt, s.params.CollapseWindow) // capacity before the window does not count
	s.possibleWork.add(now, elapsed*float64(s.params.Cores)*s.params.Speed*(s.SlowStartFactor(s.lastMeteredAt)+s.SlowStartFactor(now))/2)
	s.lastMeteredAt = now
	s.offeredWork.add(now, work)
	if now-s.started >= s.params.CollapseWindow && s.offeredWork.sum > s.params.CollapseMultiple*s.possibleWork.sum {
		s.collapsed, s.down = true, true
		s.pod.inFlight -= s.InFlight()
		s.queue, s.running = nil, nil
	}
}

// startQueued starts queued requests on idle cores. A request is executed at the speed that the server has when it starts.
func (s *Server) startQueued(now Millis) {
	for !s.suspended && !s.down && len(s.queue) > 0 && len(s.running) < s.params.Cores {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next.started = now
		next.ends = now + next.request.Work*float64(s.params.Cores)/s.capacity(now)
		s.running = append(s.running, next)
		s.justStarted = append(s.justStarted, next.request)
	}
}

// TakeStarted returns the requests that have started since the last call. A started request may have had an effect.
func (s *Server) TakeStarted() []Request {
	started := s.justStarted
	s.justStarted = nil
	return started
}

// updateSlowMode starts slow mode after the queue has been too long for SlowdownDelay, and ends it after the queue has been
// empty for SlowdownRecovery.
func (s *Server) updateSlowMode(now Millis) {
	if s.params.SlowdownQueueDepth <= 0 {
		return
	}
	if float64(len(s.queue)) > s.params.SlowdownQueueDepth*float64(s.params.Cores) {
		if math.IsNaN(s.overDepthSince) {
			s.overDepthSince = now
		}
		if now-s.overDepthSince >= s.params.SlowdownDelay {
			s.slow = true
		}
	} else {
		s.overDepthSince = math.NaN()
	}
	switch {
	case len(s.queue) > 0:
		s.queueEmptySince = math.NaN()
	case math.IsNaN(s.queueEmptySince):
		s.queueEmptySince = now
	case s.slow && now-s.queueEmptySince >= s.params.SlowdownRecovery:
		s.slow = false
	}
}

// NextCompletion returns when the next request will be completed. It returns false if none is being executed.
func (s *Server) NextCompletion() (Millis, bool) {
	if s.suspended || len(s.running) == 0 {
		return 0, false
	}
	at := s.running[0].ends
	for _, j := range s.running[1:] {
		at = min(at, j.ends)
	}
	return at, true
}

// Advance executes requests until a time and returns the completed ones in order of completion.
func (s *Server) Advance(now Millis) []Completion {
	var completions []Completion
	for {
		at, executing := s.NextCompletion()
		if !executing || at > now {
			s.updateSlowMode(now)
			return completions
		}
		for i, j := range s.running {
			if j.ends == at {
				s.running = append(s.running[:i], s.running[i+1:]...)
				completions = append(completions, Completion{Request: j.request, Arrived: j.arrived, Started: j.started, At: at})
				s.pod.inFlight--
				break
			}
		}
		s.updateSlowMode(at)
		s.startQueued(at)
	}
}

// SetDraining makes the server reject new requests, or accept them again. Requests in flight are completed.
func (s *Server) SetDraining(on bool) { s.draining = on }

// SetSlowdown multiplies the execution time of the requests that start from now on.
func (s *Server) SetSlowdown(factor float64) { s.slowdown = max(factor, 1e-3) }

// SetSuspended suspends all execution at the given time, or resumes it where it was suspended.
func (s *Server) SetSuspended(now Millis, on bool) {
	if s.suspended == on {
		return
	}
	s.suspended = on
	for i := range s.running { // while the server is suspended, ends holds the remaining time of a job
		if on {
			s.running[i].ends -= now
		} else {
			s.running[i].ends += now
		}
	}
	if !on {
		s.startQueued(now)
	}
}

// Crash drops all requests in flight and returns their number.
func (s *Server) Crash() int {
	dropped := s.InFlight()
	s.down = true
	s.pod.inFlight -= dropped
	s.queue, s.running = nil, nil
	return dropped
}

// slidingSum is the sum of the amounts that were added within the last span.
type slidingSum struct {
	span    Millis
	sum     float64
	times   []Millis
	amounts []float64
}

// add adds an amount and drops the amounts that are older than the span.
func (m *slidingSum) add(now Millis, amount float64) {
	for len(m.times) > 0 && m.times[0] <= now-m.span {
		m.sum -= m.amounts[0]
		m.times, m.amounts = m.times[1:], m.amounts[1:]
	}
	m.times, m.amounts, m.sum = append(m.times, now), append(m.amounts, amount), m.sum+amount
}
