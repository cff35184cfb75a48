package backend

import (
	"fmt"
	"net"

	"tackhub.example/tackhub/lab/netfault"
	"tackhub.example/tackhub/lab/scenario"
)

// apply starts or ends a fault of this server.
func (s *Server) apply(e scenario.Event) error {
	switch e.Kind {
	case scenario.FaultCrash:
		if e.Ends {
			return s.restart(e.Fault.NewID)
		}
		s.crash()
	case scenario.FaultColdReturn:
		s.crash()
		return s.restart(e.Fault.NewID)
	case scenario.FaultDrain:
		if e.Ends {
			s.crash()
			return s.restart(e.Fault.NewID)
		}
		s.drain()
	case scenario.FaultUnlist:
		s.setListed(e.Ends)
	case scenario.FaultServersStall:
		s.fleet.recordStall(s.name(), e.Ends)
		for _, l := range s.fleet.links[s.index] { // the server's side is wrapped, so In is towards the server
			ApplyStall(l, e, netfault.In, netfault.Out)
		}
	case scenario.FaultServersReset:
		if !e.Ends {
			s.reset()
		}
	default:
		s.degrade(e)
	}
	return nil
}

// reset resets all connections; the process keeps running.
func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// ApplyStall starts or ends a stall of a link in the directions that the fault specifies. up is the link direction towards
// the node or server, down the one away from it.
func ApplyStall(l *netfault.Link, e scenario.Event, up, down netfault.Direction) {
	if e.Fault.Direction != "down" {
		l.StallDirection(up, !e.Ends)
	}
	if e.Fault.Direction != "up" {
		l.StallDirection(down, !e.Ends)
	}
}

// degrade starts or ends a fault that leaves the process running.
func (s *Server) degrade(e scenario.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pod.mu.Lock()
	defer s.pod.mu.Unlock()
	switch e.Kind {
	case scenario.FaultVanish, scenario.FaultHang:
		s.unresponsive = e.Kind == scenario.FaultVanish && !e.Ends
		s.model.SetSuspended(s.fleet.now(), !e.Ends)
	case scenario.FaultSlow:
		factor := e.Fault.Factor
		if e.Ends {
			factor = 1
		}
		s.model.SetSlowdown(factor)
	case scenario.FaultErrors:
		s.errorFraction = e.Fault.Fraction
		if e.Ends {
			s.errorFraction = 0
		}
	case scenario.FaultReportsOff:
		s.hidesReports = !e.Ends
	}
	s.wakeModelLoop()
}

// crash ends the process. The discovery servers list it as gone after the discovery delay.
func (s *Server) crash() {
	s.mu.Lock()
	s.pod.mu.Lock()
	s.model.Crash()
	s.pod.mu.Unlock()
	s.dropProcess()
	s.phase = phaseGone
	s.mu.Unlock()
	s.fleet.announce(s)
}

// restart starts a new process that begins its slow start, with the old ID or a new one. It does nothing if a process is
// already running, which happens if two faults overlap.
func (s *Server) restart(newID bool) error {
	s.mu.Lock()
	if len(s.listeners) > 0 {
		s.mu.Unlock()
		return nil
	}
	s.incarnation++
	former := s.id
	if newID {
		s.id = fmt.Sprintf("s%03d-%d", s.index, s.incarnation)
	}
	current := s.id
	s.mu.Unlock()
	s.fleet.renameStall(former, current)
	if err := s.open(s.fleet.now()); err != nil {
		return err
	}
	s.fleet.announce(s)
	return nil
}

// setListed removes a running server from the list, or adds it again. The process goes on: by the protocol a server that a complete
// list does not name is gone, also where it still answers.
func (s *Server) setListed(listed bool) {
	s.mu.Lock()
	running := len(s.listeners) > 0
	switch {
	case listed && running && s.phase == phaseGone:
		s.phase = phaseServing
	case !listed && running && s.phase == phaseServing:
		s.phase = phaseGone
	default:
		running = false
	}
	s.mu.Unlock()
	if running {
		s.fleet.announce(s)
	}
}

// drain lists the server as draining. From then on it rejects new requests and completes the ones in flight.
func (s *Server) drain() {
	s.mu.Lock()
	s.phase = phaseDraining
	s.pod.mu.Lock()
	s.model.SetDraining(true)
	s.pod.mu.Unlock()
	s.mu.Unlock()
	s.fleet.announce(s)
}
