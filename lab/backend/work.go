package backend

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/model"
)

// report is the load report of now; empty where servers give none.
func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fleet.scenario.Fleet.Reports || s.hidesReports {
		return ""
	}
	s.pod.mu.Lock()
	defer s.pod.mu.Unlock()
	inFlight := s.model.InFlight()
	queued := s.model.Queued()
	util := float64(inFlight-queued) / float64(s.fleet.scenario.Fleet.Cores)
	return fmt.Sprintf("TEXT inflight=%d, queue=%d, util=%.2f", inFlight, queued, util)
}

// execute offers a request to the model and waits for its result. fresh says that it is the first one on its
// connection, first is when its first byte came.
func (s *Server) execute(req *fasthttp.Request, node int, fresh bool, first time.Time) result {
	id := attemptID(req)
	op, ok := OperationOf(id)
	if !ok {
		return result{status: fasthttp.StatusNotFound}
	}
	s.mu.Lock()
	s.fleet.recordReceipt(audit.Receipt{
		ID:       id,
		Node:     node,
		Server:   s.id,
		At:       s.fleet.at(first),
		Deadline: time.Duration(headerInt(req, "X-Deadline-Ms")) * time.Millisecond,
	})
	s.lastID++
	r := model.Request{ID: s.lastID, Work: s.workOf(req, fresh), Key: string(req.Header.Peek("Idempotency-Key"))}
	p := s.newPending(req, id, op)
	s.pending[r.ID] = p
	v := s.offer(r)
	if v != model.Accepted {
		delete(s.pending, r.ID)
	}
	s.mu.Unlock()
	switch v {
	case model.Accepted:
	case model.Duplicate:
		return result{status: fasthttp.StatusOK}
	case model.NotRunning:
		return result{died: true}
	default:
		return result{status: fasthttp.StatusServiceUnavailable, notExecuted: true}
	}
	s.wakeWorker()
	return <-p.done
}

// newPending prepares a request's record. The caller holds the lock.
func (s *Server) newPending(req *fasthttp.Request, id string, op int) *pending {
	return &pending{
		done:  make(chan result, 1),
		fails: s.rng.Float64() < s.errorShare,
		execution: audit.Execution{
			ID:        id,
			Operation: op,
			Effect:    s.fleet.effects[string(req.Header.Peek("X-Class"))],
			Server:    s.id,
			Pod:       s.fleet.scenario.PodOf(s.index),
		},
	}
}

// workOf is the work that a request asks for, in milliseconds on one core of speed 1.
func (s *Server) workOf(req *fasthttp.Request, fresh bool) model.Millis {
	micros, _ := strconv.Atoi(string(req.URI().QueryArgs().Peek("w")))
	work := float64(micros) / 1000
	if fresh {
		work += millis(s.fleet.scenario.Fleet.ConnCost)
	}
	return work
}

// headerInt is a header field's number; 0 where it is missing or none.
func headerInt(req *fasthttp.Request, name string) int {
	n, _ := strconv.Atoi(string(req.Header.Peek(name)))
	return n
}

// offer puts a request before the model and returns the model's verdict. A cold server that collapses under it loses
// its process. The caller holds the lock.
func (s *Server) offer(r model.Request) model.Verdict {
	s.pod.mu.Lock()
	now := s.fleet.now()
	completed := s.model.Advance(now)
	wasDown := s.model.Collapsed()
	v := s.model.Arrive(now, r)
	started := s.model.TakeStarted()
	collapses := s.model.Collapsed() && !wasDown
	s.pod.mu.Unlock()
	s.settle(completed, started)
	if collapses {
		s.fleet.recordCollapse(audit.Collapse{Server: s.id, At: s.fleet.at(time.Now())})
		s.dropProcess()
		s.phase = phaseGone
		go s.fleet.announce(s)
	}
	return v
}

// settle answers completed requests and records started ones. The caller holds the lock.
func (s *Server) settle(completed []model.Completion, started []model.Request) {
	for _, r := range started {
		p := s.pending[r.ID]
		if p == nil {
			continue
		}
		p.execution.At = s.fleet.at(time.Now())
		s.started++
		s.fleet.workStarted.Add(int64(r.Work * 1000))
		s.fleet.recordExecution(p.execution)
	}
	for _, d := range completed {
		p := s.pending[d.Request.ID]
		if p == nil {
			continue
		}
		delete(s.pending, d.Request.ID)
		res := result{status: fasthttp.StatusOK}
		if p.fails {
			res.status = fasthttp.StatusInternalServerError
		}
		p.done <- res
	}
}

// wakeWorker has the worker ask the model again when its next completion is due.
func (s *Server) wakeWorker() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// work advances the model whenever a completion is due, until the server is closed.
func (s *Server) work() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		wait := time.Hour
		if s.model != nil {
			s.pod.mu.Lock()
			completed := s.model.Advance(s.fleet.now())
			started := s.model.TakeStarted()
			at, ok := s.model.NextCompletion()
			s.pod.mu.Unlock()
			s.settle(completed, started)
			if ok {
				wait = max(0, time.Duration((at-s.fleet.now())*float64(time.Millisecond)))
			}
		}
		s.mu.Unlock()
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.closed:
			return
		}
	}
}
