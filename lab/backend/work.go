package backend

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/model"
)

// report returns the current load report, or "" if the server sends none.
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

// execute offers a request to the model and waits for its result. firstOnConn is true for the first request on a
// connection, and firstByteAt is when its first byte arrived.
func (s *Server) execute(req *fasthttp.Request, node int, firstOnConn bool, firstByteAt time.Time) result {
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
		At:       s.fleet.offsetOf(firstByteAt),
		Deadline: time.Duration(headerInt(req, "X-Deadline-Ms")) * time.Millisecond,
	})
	s.lastID++
	modelReq := model.Request{ID: s.lastID, Work: s.requestWork(req, firstOnConn), Key: string(req.Header.Peek("Idempotency-Key"))}
	entry := s.newPending(req, id, op)
	s.pending[modelReq.ID] = entry
	verdict := s.offer(modelReq)
	if verdict != model.Accepted {
		delete(s.pending, modelReq.ID)
	}
	s.mu.Unlock()
	switch verdict {
	case model.Accepted:
	case model.Duplicate:
		return result{status: fasthttp.StatusOK}
	case model.NotRunning:
		return result{died: true}
	default:
		return result{status: fasthttp.StatusServiceUnavailable, notExecuted: true}
	}
	s.wakeModelLoop()
	return <-entry.done
}

// newPending returns the entry of a request that is about to be offered. The caller holds s.mu.
func (s *Server) newPending(req *fasthttp.Request, id string, op int) *pendingRequest {
	return &pendingRequest{
		done:             make(chan result, 1),
		respondWithError: s.rng.Float64() < s.errorFraction,
		execution: audit.Execution{
			ID:        id,
			Operation: op,
			Effect:    s.fleet.effects[string(req.Header.Peek("X-Class"))],
			Server:    s.id,
			Pod:       s.fleet.scenario.PodOf(s.index),
		},
	}
}

// requestWork returns the work that a request takes, in milliseconds on one core of speed 1. The first request of a
// connection also takes the connection cost.
func (s *Server) requestWork(req *fasthttp.Request, firstOnConn bool) model.Millis {
	micros, _ := strconv.Atoi(string(req.URI().QueryArgs().Peek("w")))
	work := float64(micros) / 1000
	if firstOnConn {
		work += millis(s.fleet.scenario.Fleet.ConnCost)
	}
	return work
}

// headerInt returns the value of an integer header field, or 0 if it is missing or invalid.
func headerInt(req *fasthttp.Request, name string) int {
	n, _ := strconv.Atoi(string(req.Header.Peek(name)))
	return n
}

// offer passes a request to the model and returns the model's verdict. If the request makes a server in slow start
// collapse, its process ends. The caller holds s.mu.
func (s *Server) offer(request model.Request) model.Verdict {
	s.pod.mu.Lock()
	now := s.fleet.now()
	completed := s.model.Advance(now)
	collapsedBefore := s.model.Collapsed()
	verdict := s.model.Arrive(now, request)
	started := s.model.TakeStarted()
	collapsedNow := s.model.Collapsed() && !collapsedBefore
	s.pod.mu.Unlock()
	s.handleProgress(completed, started)
	if collapsedNow {
		s.fleet.recordCollapse(audit.Collapse{Server: s.id, At: s.fleet.offsetOf(time.Now())})
		s.dropProcess()
		s.phase = phaseGone
		go s.fleet.announce(s)
	}
	return verdict
}

// handleProgress records started requests and answers completed ones. The caller holds s.mu.
func (s *Server) handleProgress(completed []model.Completion, started []model.Request) {
	for _, request := range started {
		entry := s.pending[request.ID]
		if entry == nil {
			continue
		}
		entry.execution.At = s.fleet.offsetOf(time.Now())
		s.started++
		s.fleet.workStarted.Add(int64(request.Work * 1000))
		s.fleet.recordExecution(entry.execution)
	}
	for _, completion := range completed {
		entry := s.pending[completion.Request.ID]
		if entry == nil {
			continue
		}
		delete(s.pending, completion.Request.ID)
		res := result{status: fasthttp.StatusOK}
		if entry.respondWithError {
			res.status = fasthttp.StatusInternalServerError
		}
		entry.done <- res
	}
}

// wakeModelLoop makes runModel recompute when the model's next completion is due.
func (s *Server) wakeModelLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runModel advances the model whenever a completion is due. It returns when the server is closed.
func (s *Server) runModel() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		wait := time.Hour
		if s.model != nil {
			s.pod.mu.Lock()
			completed := s.model.Advance(s.fleet.now())
			started := s.model.TakeStarted()
			next, hasNext := s.model.NextCompletion()
			s.pod.mu.Unlock()
			s.handleProgress(completed, started)
			if hasNext {
				wait = max(0, time.Duration((next-s.fleet.now())*float64(time.Millisecond)))
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
