// Package model is the lab's server as a calculation: a queue before some cores, warming up, slow mode under a crowd, a
// pod that drops duplicates. It is pure: time and requests come in, completions go out; package backend puts sockets
// around it. docs/lab.md describes what it does, so that small cases can be worked out on paper.
package model

import "math"

// Millis is a time or a span in milliseconds.
type Millis = float64

// Params are the figures of one server.
type Params struct {
	Cores    int     // requests worked on at once
	Speed    float64 // work in ms that one core does per ms; 1 is the speed that Request.Work refers to
	QueueMax int     // queued requests beyond which new ones are rejected; 0: no limit

	// Slow mode: once more than CrowdDepth requests per core have been queued for CrowdFor, every core runs SlowFactor times
	// slower, until nothing has been queued for RestFor.
	CrowdDepth float64 // 0: never
	CrowdFor   Millis
	SlowFactor float64
	RestFor    Millis

	// A cold server begins at ColdSpeed, a share of its speed, and reaches full speed linearly after ColdFor. It collapses if
	// the work offered within CollapseWindow exceeds CollapseMultiple times what it can do in that window.
	ColdSpeed        float64
	ColdFor          Millis
	CollapseMultiple float64
	CollapseWindow   Millis

	Window Millis // how long the pod remembers a key
}

// Request is what arrives at a server.
type Request struct {
	ID     uint64 // the lab's own number of this copy
	Work   Millis // time on one core at speed 1
	Key    string // not empty for a request whose repeats are dropped
	Broken bool   // it runs and ends with an error
}

// Verdict says what a server does with an arrival.
type Verdict int

// The verdicts.
const (
	Accepted   Verdict = iota // it will be done
	Duplicate                 // the pod has seen its key: answered at once, nothing runs
	QueueFull                 // rejected: the queue is full
	PodLimited                // rejected: the pod is at its shared limit
	Draining                  // rejected: the server drains
	NotRunning                // its process does not run
)

// Completion is a request that was executed.
type Completion struct {
	Request Request
	Arrived Millis
	Started Millis
	At      Millis
}

// Pod is a group of servers that drop duplicates together and may share a limit.
type Pod struct {
	Limit  int // requests in flight in all its servers; 0: none
	Window Millis

	inFlight  int
	keyExpiry map[string]Millis // key: when it is forgotten
	order     []string          // keys by age: they are forgotten in order
}

// NewPod makes a pod. limit bounds the requests in flight in all its servers, 0 for none; window is how long a key is
// remembered.
func NewPod(limit int, window Millis) *Pod {
	return &Pod{Limit: limit, Window: window, keyExpiry: map[string]Millis{}}
}

// isDuplicate remembers a key and tells whether it was known.
func (p *Pod) isDuplicate(now Millis, key string) bool {
	for len(p.order) > 0 && p.keyExpiry[p.order[0]] <= now {
		delete(p.keyExpiry, p.order[0])
		p.order = p.order[1:]
	}
	if _, ok := p.keyExpiry[key]; ok {
		return true
	}
	p.keyExpiry[key] = now + p.Window
	p.order = append(p.order, key)
	return false
}

// Server is one server's state.
type Server struct {
	params    Params
	pod       *Pod
	started   Millis // -Inf: long ago
	slowdown  float64
	suspended bool // it holds what it has and does nothing
	draining  bool
	down      bool

	queue        []job
	running      []job
	slow         bool
	crowdedSince Millis // since when too many wait; NaN: they do not
	idleSince    Millis // since when nothing waits; NaN: something does

	justStarted []Request // whose work has started since the last TakeStarted

	offered   meter // work that came while it was cold
	possible  meter // work that it could have done
	meteredAt Millis
	collapsed bool
}

// job is an accepted request.
type job struct {
	request Request
	arrived Millis
	started Millis
	ends    Millis
}

// NewServer makes a server that started at a time; math.Inf(-1) for one that is warm.
func NewServer(p Params, pod *Pod, started Millis) *Server {
	s := &Server{params: p, pod: pod, started: started, slowdown: 1, crowdedSince: math.NaN(), idleSince: 0, meteredAt: started}
	s.offered.span, s.possible.span = p.CollapseWindow, p.CollapseWindow
	return s
}

// WarmupFactor is the share of its speed that the server has at a time.
func (s *Server) WarmupFactor(now Millis) float64 {
	age := now - s.started
	if math.IsInf(s.started, -1) || age >= s.params.ColdFor || s.params.ColdFor <= 0 {
		return 1
	}
	return s.params.ColdSpeed + (1-s.params.ColdSpeed)*max(0, age)/s.params.ColdFor
}

// capacity is the work that all cores together do in a millisecond.
func (s *Server) capacity(now Millis) float64 {
	v := float64(s.params.Cores) * s.params.Speed * s.WarmupFactor(now) / s.slowdown
	if s.slow {
		v /= s.params.SlowFactor
	}
	return v
}

// InFlight is the number of requests that the server holds, queued or executed.
func (s *Server) InFlight() int { return len(s.queue) + len(s.running) }

// Queued is the number of requests that no core has started.
func (s *Server) Queued() int { return len(s.queue) }

// Slow reports whether a crowd has made the server slow.
func (s *Server) Slow() bool { return s.slow }

// Collapsed reports whether the server was overloaded while it was cold until it fell over.
func (s *Server) Collapsed() bool { return s.collapsed }

// Arrive offers a request. Advance must have been called for the time before.
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
	case r.Key != "" && s.pod.isDuplicate(now, r.Key):
		return Duplicate
	}
	s.pod.inFlight++
	s.queue = append(s.queue, job{request: r, arrived: now})
	s.startQueued(now)
	s.updateSlowMode(now)
	return Accepted
}

// recordOffered measures the work offered to a cold server. It collapses where that was too much for too long.
func (s *Server) recordOffered(now Millis, work Millis) {
	if s.params.CollapseMultiple <= 0 || s.WarmupFactor(now) >= 1 {
		return
	}
	gap := min(now-s.meteredAt, s.params.CollapseWindow) // what it could have done before the window does not count
	s.possible.add(now, gap*float64(s.params.Cores)*s.params.Speed*(s.WarmupFactor(s.meteredAt)+s.WarmupFactor(now))/2)
	s.meteredAt = now
	s.offered.add(now, work)
	if now-s.started >= s.params.CollapseWindow && s.offered.sum > s.params.CollapseMultiple*s.possible.sum {
		s.collapsed, s.down = true, true
		s.pod.inFlight -= s.InFlight()
		s.queue, s.running = nil, nil
	}
}

// startQueued lets idle cores take queued requests. A request's speed is that of the moment at which its work starts.
func (s *Server) startQueued(now Millis) {
	for !s.suspended && !s.down && len(s.queue) > 0 && len(s.running) < s.params.Cores {
		j := s.queue[0]
		s.queue = s.queue[1:]
		j.started = now
		j.ends = now + j.request.Work*float64(s.params.Cores)/s.capacity(now)
		s.running = append(s.running, j)
		s.justStarted = append(s.justStarted, j.request)
	}
}

// TakeStarted returns the requests whose work has started since the last call: from then on they may have had an
// effect.
func (s *Server) TakeStarted() []Request {
	out := s.justStarted
	s.justStarted = nil
	return out
}

// updateSlowMode begins slow mode after a long crowd and ends it after a long rest.
func (s *Server) updateSlowMode(now Millis) {
	if s.params.CrowdDepth <= 0 {
		return
	}
	if float64(len(s.queue)) > s.params.CrowdDepth*float64(s.params.Cores) {
		if math.IsNaN(s.crowdedSince) {
			s.crowdedSince = now
		}
		if now-s.crowdedSince >= s.params.CrowdFor {
			s.slow = true
		}
	} else {
		s.crowdedSince = math.NaN()
	}
	switch {
	case len(s.queue) > 0:
		s.idleSince = math.NaN()
	case math.IsNaN(s.idleSince):
		s.idleSince = now
	case s.slow && now-s.idleSince >= s.params.RestFor:
		s.slow = false
	}
}

// NextCompletion is when the next request will be completed; false where none is being executed.
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

// Advance executes until a time and returns what was completed, in order.
func (s *Server) Advance(now Millis) []Completion {
	var out []Completion
	for {
		at, ok := s.NextCompletion()
		if !ok || at > now {
			s.updateSlowMode(now)
			return out
		}
		for i, j := range s.running {
			if j.ends == at {
				s.running = append(s.running[:i], s.running[i+1:]...)
				out = append(out, Completion{Request: j.request, Arrived: j.arrived, Started: j.started, At: at})
				s.pod.inFlight--
				break
			}
		}
		s.updateSlowMode(at)
		s.startQueued(at)
	}
}

// SetDraining has the server reject what comes from now on; what is in flight is completed.
func (s *Server) SetDraining(on bool) { s.draining = on }

// SetSlowdown makes what starts from now on take so many times as long.
func (s *Server) SetSlowdown(times float64) { s.slowdown = max(times, 1e-3) }

// SetSuspended stops all execution at a time, and lets it continue later where it stopped.
func (s *Server) SetSuspended(now Millis, on bool) {
	if s.suspended == on {
		return
	}
	s.suspended = on
	for i := range s.running { // while the server is suspended, ends holds the time that a job has left
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

// Crash loses what is in flight, and returns how much it was.
func (s *Server) Crash() int {
	n := s.InFlight()
	s.down = true
	s.pod.inFlight -= n
	s.queue, s.running = nil, nil
	return n
}

// meter sums what came within a span.
type meter struct {
	span Millis
	sum  float64
	at   []Millis
	n    []float64
}

func (m *meter) add(now Millis, n float64) {
	for len(m.at) > 0 && m.at[0] <= now-m.span {
		m.sum -= m.n[0]
		m.at, m.n = m.at[1:], m.n[1:]
	}
	m.at, m.n, m.sum = append(m.at, now), append(m.n, n), m.sum+n
}
