package front

import (
	"sync"
	"time"
)

const (
	// retransmissionWait is how long after a response a device that did not get it may wait until it sends its request
	// again: the longest time before the first retransmission of RFC 7252, 4.8.
	retransmissionWait = ackTimeout * 3 / 2

	// maxTransmitWait is the longest time for which a confirmable message is retransmitted and its acknowledgement awaited:
	// MAX_TRANSMIT_WAIT of RFC 7252, 4.8.2.
	maxTransmitWait = 93 * time.Second

	// maxQueueRead is the longest time for which a closing server reads what the kernel still holds for its socket.
	maxQueueRead = 10 * time.Millisecond

	// closePollInterval is how often a closing server checks whether its devices have their responses.
	closePollInterval = 10 * time.Millisecond
)

// closing is the state of a server that is being closed.
type closing struct {
	begin sync.Once
	cut   sync.Once
	cutCh chan struct{} // closed when the server must not wait any longer for devices
	reads chan struct{} // closed when the server does not read any more
	ended chan struct{} // closed when the socket is closed
}

func newClosing() closing {
	return closing{cutCh: make(chan struct{}), reads: make(chan struct{}), ended: make(chan struct{})}
}

// BeginClose rejects requests that were not received before, and returns. Requests in flight are still answered, and
// retransmissions still get the responses of their requests. The server closes its socket when no device can need it any
// longer, at the latest maxTransmitWait after the last response. Further calls have no effect.
func (s *Server) BeginClose() {
	s.closing.begin.Do(func() {
		s.mu.Lock() // requests are accepted with the lock held, so handlers.Wait covers every request that was accepted before
		s.stopping = true
		s.mu.Unlock()
		go s.finishClose()
	})
}

// Close closes the server and waits for the end. All requests in flight are answered, each by its own deadline. After that
// the server does not wait for acknowledgements and retransmissions beyond the given time.
func (s *Server) Close(latest time.Time) {
	s.BeginClose()
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	select {
	case <-s.closing.ended:
		return
	case <-timer.C:
	}
	s.closing.cut.Do(func() { close(s.closing.cutCh) })
	<-s.closing.ended
}

// finishClose waits until all requests are answered and the devices have their responses, and closes the socket.
func (s *Server) finishClose() {
	defer close(s.closing.ended)
	began := s.now()
	s.handlers.Wait()
	answered := s.now()
	unacknowledged := s.awaitDevices(answered + maxTransmitWait)
	s.readQueued()
	_ = s.conn.Close()
	s.options.Log.Info("CoAP listener closed", "code", "coap_end", "took_ms", (s.now() - began).Milliseconds(),
		"answered_ms", (answered - began).Milliseconds(), "unacknowledged", unacknowledged)
}

// readQueued lets Run answer the datagrams that have arrived and were not read yet, because the process was suspended or had no CPU
// time. Their devices would otherwise repeat them to a closed port, or to the next process.
func (s *Server) readQueued() {
	_ = s.conn.SetReadDeadline(time.Now().Add(maxQueueRead)) // ends Run
	select {
	case <-s.closing.reads:
	case <-time.After(maxQueueRead):
	}
}

// awaitDevices waits until no device can need the server any longer, but not beyond the given time or the cut. It returns
// the number of responses that are still not acknowledged.
func (s *Server) awaitDevices(latest time.Duration) (unacknowledged int) {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for {
		unacknowledged, quiet := s.deviceState()
		if unacknowledged == 0 && quiet || s.now() >= latest {
			return unacknowledged
		}
		select {
		case <-ticker.C:
		case <-s.closing.cutCh:
			return unacknowledged
		}
	}
}

// deviceState returns the number of separate responses that are retransmitted until they are acknowledged, and whether
// the latest response is so long ago that its device would have repeated its request if it had not got the response.
func (s *Server) deviceState() (unacknowledged int, quiet bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unacknowledged), s.lastAnswered == 0 || s.now()-s.lastAnswered >= retransmissionWait
}
