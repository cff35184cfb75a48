package ingress

import (
	"time"

	"tackhub.example/tackhub/internal/drain"
)

const (
	// adminDrainDelay is how long after the call idle connections stay open: for so long new connections still come, and a
	// client whose connection is closed earlier only comes back.
	adminDrainDelay = drain.NewConnectionTime

	// adminDrainInterval and adminDrainBatch spread the closing, so that the other nodes do not get all clients at one
	// moment. The most connections in use, 512, take 1.1 s, well within the 4 s after which none may be left.
	adminDrainInterval = 25 * time.Millisecond
	adminDrainBatch    = 12
)

// adminDrain is a drain that an administrator began and may end: clients are sent elsewhere, and the process runs on.
type adminDrain struct {
	ended chan struct{}
}

// AdminDraining reports whether an administrative drain is in progress.
func (s *Server) AdminDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.adminDrain != nil
}

// BeginAdminDrain begins an administrative drain: the health check fails, responses close their connections, and idle
// connections are closed step by step. Clients that come nevertheless are served.
func (s *Server) BeginAdminDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.adminDrain != nil {
		return
	}
	s.adminDrain = &adminDrain{ended: make(chan struct{})}
	s.options.Log.Info("administrative drain", "code", "hand_drain", "on", true)
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
	s.options.Log.Info("administrative drain", "code", "hand_drain", "on", false)
}

// closeInBatches closes idle connections until the drain ends or a shutdown begins, which closes them itself.
func (s *Server) closeInBatches(d *adminDrain) {
	delay := time.NewTimer(adminDrainDelay)
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
		if _, ok := c.idleFor(firstRequestTime); ok && c.closeWhenIdle(closeDrained) {
			closed++
		}
	}
}
