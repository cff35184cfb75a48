package ingress

import (
	"time"

	"tackhub.example/tackhub/internal/drain"
)

const (
	// adminDrainIdleDelay is how long idle connections stay open after a drain begins. New connections still reach this node
	// during that time, and a client whose connection is closed earlier would only reconnect to it.
	adminDrainIdleDelay = drain.NewConnectionTime

	// adminDrainInterval and adminDrainBatch limit how fast idle connections are closed, so that the clients do not all
	// reconnect to the other nodes at the same moment. At most 512 connections are in use. Closing them takes 1.1 s, well
	// within the 4 s in which all connections must be closed.
	adminDrainInterval = 25 * time.Millisecond
	adminDrainBatch    = 12

	// adminDrainPipelineTime is how long after the beginning of a drain a connection stays open for requests that its client may have
	// written behind one another.
	adminDrainPipelineTime = 2 * time.Second
)

// adminDrain is a drain that an administrator begins and can end. It moves clients to other nodes while the process keeps
// running.
type adminDrain struct {
	began time.Time
	ended chan struct{} // closed by EndAdminDrain
}

// AdminDraining reports whether an administrative drain is in progress.
func (s *Server) AdminDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.adminDrain != nil
}

// BeginAdminDrain begins an administrative drain: the health check fails, each connection is closed after its next response,
// and idle connections are closed in batches. New connections and their requests are still served.
func (s *Server) BeginAdminDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.adminDrain != nil {
		return
	}
	s.adminDrain = &adminDrain{began: time.Now(), ended: make(chan struct{})}
	s.options.Log.Info("administrative drain began", "code", "hand_drain", "on", true)
	go s.closeInBatches(s.adminDrain)
}

// EndAdminDrain ends an administrative drain.
func (s *Server) EndAdminDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.adminDrain == nil {
		return
	}
	close(s.adminDrain.ended)
	s.adminDrain = nil
	s.options.Log.Info("administrative drain ended", "code", "hand_drain", "on", false)
}

// closeInBatches closes idle connections until the drain ends or a graceful shutdown begins, which closes idle connections
// itself.
func (s *Server) closeInBatches(d *adminDrain) {
	delay := time.NewTimer(adminDrainIdleDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-d.ended:
		return
	}
	ticker := time.NewTicker(adminDrainInterval)
	defer ticker.Stop()
	for !s.draining() {
		s.closeIdleBatch()
		select {
		case <-ticker.C:
		case <-d.ended:
			return
		}
	}
}

// closeIdleBatch closes up to adminDrainBatch idle connections.
func (s *Server) closeIdleBatch() {
	closed := 0
	for _, c := range s.allConns() {
		if closed == adminDrainBatch {
			return
		}
		if _, ok := c.idleFor(firstRequestTimeout); ok && c.closeWhenIdle(closeDrained) {
			closed++
		}
	}
}
