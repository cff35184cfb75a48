package engine

import (
	"errors"
	"time"

	"tackhub.example/tackhub/balancer"
)

// Request is a client's request. Its methods do not block.
type Request interface {
	Arrival() balancer.Arrival
	// StartAttempt starts an attempt. done is called once, unless the attempt is aborted first.
	StartAttempt(options AttemptOptions, done func(Completion)) Attempt
	Respond(Response)
}

// AttemptOptions describe an attempt that the balancer has decided on.
type AttemptOptions struct {
	Server  balancer.ServerID
	Group   balancer.DedupGroup // in which the server must be when the request is completely written
	Timeout balancer.Millis     // infinite while the body is still being uploaded
	// WriteDeadline is the time by which the request must be completely written; 0: no limit.
	WriteDeadline balancer.Millis
}

// Attempt is an attempt in flight.
type Attempt interface {
	// Abort ends the attempt without blocking. It reports whether the server may have received the
	// complete request and thus may have run it.
	Abort() (mayHaveRun bool)
}

// Completion is the result of an attempt or a load probe. The body is sent to the client only if the
// request has not been answered yet.
type Completion struct {
	Outcome            balancer.Outcome
	Elapsed            balancer.Millis
	Report             balancer.LoadReport
	Body               []byte        // the complete response body, or its beginning if Remaining is set
	Remaining          RemainingBody // the rest of the body; nil if Body is complete
	ClientDisconnected bool          // the request was not completely written, because the client had disconnected
	Undeliverable      bool          // no listed server can be sent the request
}

// discard closes the rest of a response body that is not sent to the client.
func (c Completion) discard() {
	if c.Remaining != nil {
		c.Remaining.Close()
	}
}

// RemainingBody is the part of a large response that has not been received yet. The code to
// which it is passed must close it.
type RemainingBody interface {
	Size() int64           // of the complete body in bytes; -1 if unknown
	SetDeadline(time.Time) // when the client gives up; called before the first Read, unless the body is expected to be large
	Read([]byte) (int, error)
	Close()
}

// Response is the final response to a request.
type Response struct {
	Kind       ResponseKind
	Body       []byte          // of a served request: the complete body, or its beginning if Remaining is set
	Remaining  RemainingBody   // the rest of the body; nil if Body is complete
	RetryAfter balancer.Millis // of a rejected request; 0: none
}

// ResponseKind is the result of a request.
type ResponseKind int

// The kinds of responses.
const (
	Served ResponseKind = iota
	Rejected
	Failed
	TimedOut // failed after the deadline
)

// OutgoingRequest is a request in the form that is sent to one server.
type OutgoingRequest struct {
	Bytes     []byte
	Encode    func() []byte // returns the bytes with the time that is left to the client now; nil: Bytes is written
	Body      RequestBody   // follows the bytes; nil: none
	OnWritten func()        // called once when the last byte has been written; may be nil

	// WriteDeadline is the time by which the last byte must have reached the server; zero: no limit. If a
	// retry arrives after the end of its dedup window, the server may run the request a second time.
	WriteDeadline time.Time
	// Group is the dedup group in which the server must be when the last byte is written: it remembers the request's key. Otherwise a
	// repeat of the request would go to servers that do not remember it.
	Group balancer.DedupGroup
	// ClientWaiting reports whether the client is still connected; nil: not checked. Transmission calls
	// it, because the client's cancellation may still be queued in the engine's mailbox.
	ClientWaiting func() bool
	// ClientMayHaveLeft reports whether the client may have disconnected, which cannot be seen now; nil: not checked. It is true as well if the
	// client has disconnected.
	ClientMayHaveLeft func() bool
}

// RequestBody is a large request body that is stored outside memory.
type RequestBody interface {
	Size() int64  // in bytes
	Retain() bool // adds a reference, which needs one more call of Release; false: the request has ended and the body is gone
	Release()
	// ForEachChunk calls each with every chunk in order. A chunk is valid during the call only; last
	// marks the last one.
	ForEachChunk(each func(chunk []byte, last bool) error) error
}

var (
	// ErrWriteDeadline is returned if a request could not be completely written by its write
	// deadline. The server has not received the complete request, so it cannot have run it.
	ErrWriteDeadline = errors.New("request not completely written by its write deadline")
	// ErrClientDisconnected is returned if a request was not completely written because its client
	// disconnected. The server has not received the complete request, so it cannot have run it.
	ErrClientDisconnected = errors.New("client disconnected before the request was completely written")
	// ErrClientUnseen is returned if a request was not completely written because its client may have disconnected. The server has not
	// received the complete request, so it cannot have run it.
	ErrClientUnseen = errors.New("the client may have disconnected behind unread bytes")
)

// Encoded returns the bytes of the request. The sender calls it right before it writes them.
func (r OutgoingRequest) Encoded() []byte {
	if r.Encode != nil {
		return r.Encode()
	}
	return r.Bytes
}

// NotifyWritten calls OnWritten. The sender calls it when the last byte has been written.
func (r OutgoingRequest) NotifyWritten() {
	if r.OnWritten != nil {
		r.OnWritten()
	}
}
