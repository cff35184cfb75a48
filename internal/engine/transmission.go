package engine

import (
	"errors"
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
)

// Transmission decides for one attempt whether the byte that completes its request may leave the process, and so whether the server
// may run the request. Every transport asks it right before each write of such a byte, copies included. It is safe for concurrent use.
type Transmission struct {
	Request  OutgoingRequest
	Resolver Resolver
	Server   balancer.ServerID

	mu        sync.Mutex
	committed bool // a byte that completes the request may have left the process
	aborted   bool
}

// ErrAborted is returned if an attempt was aborted before its request was completely written. The server has not received the complete
// request, so it cannot have run it.
var ErrAborted = errors.New("attempt aborted before the request was completely written")

// Commit must be called right before a byte that completes the request is written to an address. If it returns nil, the byte may be
// written, and from then on the server may have run the request. Otherwise the byte must not be written; the error is that of Check.
// delay is the time until the byte reaches the server.
func (t *Transmission) Commit(address string, delay time.Duration) error {
	if err := t.Check(address, delay); err != nil {
		return err
	}
	// The lock is that of Abort: an abort that reports that the request cannot have run keeps every later byte back.
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.aborted {
		return ErrAborted
	}
	t.committed = true
	return nil
}

// Check returns the reason why the request must not be completed any longer: ErrAborted, ErrWriteDeadline, ErrClientDisconnected,
// ErrClientUnseen, ErrGroupChanged or ErrWithdrawn. Transports also call it before earlier parts of the request, with the shortest time until its last byte can reach the
// server, so that an attempt ends as soon as it is certain that it cannot be completed.
//
// The write deadline is the end of the time for which servers drop repeats, counted from the start of the first attempt that may have
// run, which is not later than the start of that run. An attempt counts for the server when its last byte arrives.
func (t *Transmission) Check(address string, delay time.Duration) error {
	if t.Aborted() {
		return ErrAborted
	}
	deadline := t.Request.WriteDeadline
	if !deadline.IsZero() && !time.Now().Add(delay).Before(deadline) {
		return ErrWriteDeadline
	}
	if err := t.Request.checkClient(); err != nil {
		return err
	}
	if err := checkGroup(t.Resolver, t.Server, t.Request.Group); err != nil {
		return err
	}
	return CheckOffered(t.Resolver, t.Server, address)
}

// checkClient returns the reason why nothing may begin for the client: ErrClientDisconnected or ErrClientUnseen.
func (r OutgoingRequest) checkClient() error {
	checksUnseen := r.ClientMayHaveLeft != nil
	if checksUnseen && !r.ClientMayHaveLeft() {
		return nil
	}
	if r.ClientWaiting != nil && !r.ClientWaiting() {
		return ErrClientDisconnected
	}
	if checksUnseen {
		return ErrClientUnseen
	}
	return nil
}

// Revoke records that the write after Commit has failed before the byte that completes the request was passed to the kernel.
func (t *Transmission) Revoke() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.committed = false
}

// Abort forbids every later Commit. It reports whether the server may have received the complete request.
func (t *Transmission) Abort() (mayHaveRun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.aborted = true
	return t.committed
}

// Aborted reports whether Abort was called.
func (t *Transmission) Aborted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.aborted
}

// MayHaveRun reports whether the server may have received the complete request.
func (t *Transmission) MayHaveRun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.committed
}

// WasWithheld reports whether an error is one of those with which Commit and Check withhold a request. Such an attempt was not sent, for a
// reason that has nothing to do with the server.
func WasWithheld(err error) bool {
	return errors.Is(err, ErrAborted) || errors.Is(err, ErrWriteDeadline) || errors.Is(err, ErrClientDisconnected) ||
		errors.Is(err, ErrClientUnseen) ||
		errors.Is(err, ErrGroupChanged) || errors.Is(err, ErrWithdrawn)
}
