package engine

import (
	"errors"
	"time"

	"tackhub.example/tackhub/balancer"
)

// Request is one client's request. Its methods do not wait.
type Request interface {
	Arrival() balancer.Arrival
	// StartAttempt starts an attempt with a timeout, which must be written whole by writeDeadline; 0: no
	// limit. An infinite timeout means that the body is still being uploaded. done is called once,
	// unless the attempt is aborted first.
	StartAttempt(server balancer.ServerID, timeout, writeDeadline balancer.Millis, done func(Completion)) Attempt
	Respond(Response)
}

// Attempt is one attempt of a request under way.
type Attempt interface {
	// Abort ends it at once and without waiting, and reports whether the server may have received it
	// whole.
	Abort() (mayHaveRun bool)
}

// Completion is how an attempt or a probe ended. Whoever waits for the response gets the body with it.
type Completion struct {
	Outcome            balancer.Outcome
	Elapsed            balancer.Millis
	Report             balancer.LoadReport
	Body               []byte        // of a served response, or its beginning
	Remaining          RemainingBody // what is still to come of it; nil where it is complete
	ClientDisconnected bool          // nothing was written whole, since the client had gone
}

// discard lets go of a response that nobody gets.
func (c Completion) discard() {
	if c.Remaining != nil {
		c.Remaining.Close()
	}
}

// RemainingBody is the part of a large response that is still coming. Whoever gets it closes it.
type RemainingBody interface {
	Size() int64           // of the whole body in bytes, -1 where it isn't known
	SetDeadline(time.Time) // when the client gives the request up; called before the first Read, if at all
	Read([]byte) (int, error)
	Close()
}

// Response is a request's final answer.
type Response struct {
	Kind       ResponseKind
	Body       []byte          // of a served one, or its beginning
	Remaining  RemainingBody   // what is still to come of it; nil where it is complete
	RetryAfter balancer.Millis // of a rejected one; 0: nothing is said
}

// ResponseKind says what became of a request.
type ResponseKind int

// The kinds of responses.
const (
	Served ResponseKind = iota
	Rejected
	Failed
	TimedOut // failed after its deadline
)

// OutgoingRequest is a request as it is sent to one server.
type OutgoingRequest struct {
	Bytes     []byte
	Body      RequestBody // what follows the bytes; nil for none
	OnWritten func()      // called once when the last byte has been written; nil where nobody asks

	// WriteDeadline is when the last byte must have been written, or must not be any more; zero: no
	// limit.
	WriteDeadline time.Time
	// ClientWaiting reports whether the client is still there. It is asked right before the first
	// byte is written, and before the last chunk of a large body: what the engine knows of a client
	// may have waited behind other messages. Nil: it always is.
	ClientWaiting func() bool
}

// RequestBody is a large body that is kept outside memory.
type RequestBody interface {
	Size() int64 // in bytes
	Retain()     // it stays until one more Release
	Release()
	// ForEachChunk gives it chunk by chunk, each valid during the call, the last one marked.
	ForEachChunk(each func(chunk []byte, last bool) error) error
}

var (
	// ErrWriteDeadline says that a request could not be written whole in time. Nothing that a
	// server could begin has been.
	ErrWriteDeadline = errors.New("not written whole in time")
	// ErrClientDisconnected says that a request was not written whole since its client has gone. Nothing
	// that a server could begin has been.
	ErrClientDisconnected = errors.New("the client has gone")
)

// CheckWritable says why the last byte must not be written any more: ErrWriteDeadline or
// ErrClientDisconnected; nil where it may.
//
// A repeat that is written after its window may run a second time, and one whose client has gone
// does work for nobody.
func (r OutgoingRequest) CheckWritable() error {
	if !r.WriteDeadline.IsZero() && !time.Now().Before(r.WriteDeadline) {
		return ErrWriteDeadline
	}
	if r.ClientWaiting != nil && !r.ClientWaiting() {
		return ErrClientDisconnected
	}
	return nil
}

// NotifyWritten says that the last byte has been written.
func (r OutgoingRequest) NotifyWritten() {
	if r.OnWritten != nil {
		r.OnWritten()
	}
}
