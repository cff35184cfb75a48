// Package engine holds the one goroutine that owns the decision module: events come in through a mailbox, the
// module takes a step, and its actions are handed to whoever carries them out. It decides nothing and never
// waits for I/O; nor may any action.
package engine

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
)

// mailboxLen is how many events may wait. Senders wait beyond it, the engine never does, so it bounds memory
// and cannot lock up.
const mailboxLen = 4096

// Module is what decides.
type Module interface {
	Step(now balancer.Millis, event balancer.Event) []balancer.Action
}

// Census is a module that tells how many servers are listed and how many of them it avoids.
type EndpointCounter interface {
	CountEndpoints() (listed, avoided int)
	EndpointVersion() int // Census gives the same while this does
}

// End is how an attempt or a probe ended. Whoever waits for the answer gets the body with it.
type Completion struct {
	Outcome    balancer.Outcome
	Elapsed    balancer.Millis
	Report     balancer.LoadReport
	Body       []byte        // of a served one, or the first of it
	Remaining  RemainingBody // what is still to come of it; nil where it is whole
	ClientGone bool          // nothing was written whole, since the client had gone
}

// Rest is the part of a large answer that is still coming. Whoever gets it closes it.
type RemainingBody interface {
	Size() int64           // of the whole body in bytes, -1 where it is not told
	SetDeadline(time.Time) // when the client gives the request up; called before the first Read, if at all
	Read([]byte) (int, error)
	Close()
}

// discard lets go of an answer that nobody gets.
func (e Completion) discard() {
	if e.Remaining != nil {
		e.Remaining.Close()
	}
}

// Answer is a request's final answer.
type Response struct {
	Kind       ResponseKind
	Body       []byte          // of a served one, or the first of it
	Remaining  RemainingBody   // what is still to come of it; nil where it is whole
	RetryAfter balancer.Millis // of a refused one; 0: no indication
}

// AnswerKind says what became of a request.
type ResponseKind int

// The kinds of answers.
const (
	Served ResponseKind = iota
	Rejected
	Failed
	TimedOut // failed, and its time is up
)

// Attempt is one copy of a request on its way.
type Attempt interface {
	// Abort ends it at once and without waiting, and tells whether the server may have got it whole.
	Abort() (mayHaveRun bool)
}

// Copy is one copy of a request for a server.
type OutgoingRequest struct {
	Bytes     []byte
	Body      RequestBody // what follows the bytes; nil for none
	OnWritten func()      // called once when the last byte has been written; nil where nobody asks
	// WholeBy is when the last byte must have been written, or must not be any more; zero: no such end.
	WriteDeadline time.Time
	// Wanted tells whether the client is still there. Asked right before the first byte is written, and before the last piece of
	// a large body: what the engine knows of a client may have waited behind other events. Nil: it always is.
	ClientWaiting func() bool
}

// ErrTooLate says that a copy could not be written whole in time. Nothing that a server could begin has been.
var ErrWriteDeadline = errors.New("not written whole in time")

// ErrLeft says that a copy was not written whole since its client has gone. Nothing that a server could begin has been.
var ErrClientGone = errors.New("the client has gone")

// Refused tells why the last byte must not be written any more; nil where it may.
func (c OutgoingRequest) CheckWritable() error {
	switch {
	case !c.WriteDeadline.IsZero() && !time.Now().Before(c.WriteDeadline):
		return ErrWriteDeadline
	case c.ClientWaiting != nil && !c.ClientWaiting():
		return ErrClientGone
	}
	return nil
}

// Body is a large body that is kept outside memory.
type RequestBody interface {
	Size() int64 // in bytes
	Retain()     // it stays until one more Release
	Release()
	// Pieces gives it piece by piece, each valid during the call, the last one marked.
	ForEachChunk(each func(piece []byte, last bool) error) error
}

// Written tells that the last byte has been written.
func (c OutgoingRequest) NotifyWritten() {
	if c.OnWritten != nil {
		c.OnWritten()
	}
}

// Exchange is one client's request. Its methods do not wait.
type Request interface {
	Arrival() balancer.Arrival
	// Send starts an attempt that is waited for so long, and whose last byte must be written by a time; 0: at any.
	StartAttempt(server balancer.ServerID, wait, wholeBy balancer.Millis, done func(Completion)) Attempt
	Respond(Response)
}

// Prober asks a server for a sign of life. It does not wait.
type Prober interface {
	ProbeLoad(server balancer.ServerID, done func(Completion))
}

// Watcher follows the list of servers from now on. It does not wait.
type EndpointWatcher interface{ WatchEndpoints() }

// Teller passes a message on to the other nodes. It does not wait.
type Broadcaster interface{ Broadcast(body []byte) }

// Engine drives the module.
type Engine struct {
	module  Module
	clock   clock.Clock
	mailbox chan message
	timers  timers
	live    map[balancer.RequestID]*call
	nextID  balancer.RequestID
	prober  Prober
	watcher EndpointWatcher
	teller  Broadcaster
	most    int // attempts a request may have
	log     *slog.Logger
	count   *counters.Counters
	census  EndpointCounter  // nil where the module tells none
	changes int              // as last counted
	queue   []balancer.Event // events that actions brought about; they follow at once
	stopped chan struct{}
}

// call is a request in the engine's hands, kept until it is answered and its attempts have ended.
type call struct {
	id       balancer.RequestID
	exchange Request
	expires  balancer.Millis
	attempts []*attempt
	open     int
	closed   bool
	// uploading says that its body is still coming: its time runs only from the end of that, which ends it in any case.
	uploading bool
}

type attempt struct {
	call   *call
	n      int
	server balancer.ServerID
	sentAt balancer.Millis
	copy   Attempt
	open   bool
}

// message is anything that reaches the engine from outside.
type message struct {
	call     *call // with arrive, uploaded, leave
	uploaded bool
	expires  balancer.Millis // with uploaded
	arrive   bool
	leave    bool
	attempt  *attempt // with end
	end      *Completion
	server   balancer.ServerID // with end: a probe's
	list     *balancer.EndpointUpdate
	told     *balancer.GossipReceived
	event    balancer.Event // anything else the module is to hear
	between  func()         // to be run between two decisions
}

// Options are what an engine works with.
type Options struct {
	Module          Module
	Clock           clock.Clock
	Prober          Prober
	EndpointWatcher EndpointWatcher
	Broadcaster     Broadcaster // nil where nodes do not talk
	MaxAttempts     int
	Log             *slog.Logger
	Counters        *counters.Counters
}

// New makes an engine; Run starts it.
func New(o Options) *Engine {
	census, _ := o.Module.(EndpointCounter)
	return &Engine{census: census, module: o.Module, clock: o.Clock, mailbox: make(chan message, mailboxLen),
		live: map[balancer.RequestID]*call{}, prober: o.Prober, watcher: o.EndpointWatcher, teller: o.Broadcaster, most: o.MaxAttempts,
		log: o.Log, count: o.Counters, stopped: make(chan struct{})}
}

// Ticket names a request that the engine has taken.
type Ticket struct {
	engine *Engine
	call   *call
}

// Arrive hands a request to the module. Its Finish is called once, unless Leave comes first.
func (e *Engine) Submit(x Request) Ticket {
	c := &call{exchange: x}
	e.post(message{call: c, arrive: true})
	return Ticket{e, c}
}

// Uploaded says that the body of a request that arrived before it was whole has come, and when its client gives it up.
func (t Ticket) BodyReceived(expires balancer.Millis) {
	t.engine.post(message{call: t.call, uploaded: true, expires: expires})
}

// Leave says that nobody waits for the answer any more.
func (t Ticket) Cancel() { t.engine.post(message{call: t.call, leave: true}) }

// ListNews tells the module of the list.
func (e *Engine) UpdateEndpoints(l balancer.EndpointUpdate) { e.post(message{list: &l}) }

// Hear tells the module what another node told.
func (e *Engine) ReceiveGossip(m balancer.GossipReceived) { e.post(message{told: &m}) }

// Tell hands the module an event that concerns no request.
func (e *Engine) Post(event balancer.Event) { e.post(message{event: event}) }

// Between runs f between two decisions, on the goroutine that owns the module, and waits until it has run. It tells
// whether it has: an engine that ends may not.
func (e *Engine) RunBetweenSteps(f func()) bool {
	ran := make(chan struct{})
	e.post(message{between: func() { defer close(ran); f() }})
	select {
	case <-ran:
		return true
	case <-e.stopped:
		return false
	}
}

func (e *Engine) post(m message) {
	select {
	case e.mailbox <- m:
	case <-e.stopped: // at exit late events reach nobody
	}
}

// Run works until the context ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		e.guarded(e.fire)
		if at, ok := e.timers.next(); ok {
			wake.Reset(clock.Span(max(0, at-e.clock.Now())))
		} else {
			wake.Reset(time.Hour)
		}
		select {
		case m := <-e.mailbox:
			e.count.Engine.QueueMax.Max(int64(len(e.mailbox)) + 1)
			e.guarded(func() { e.take(m) })
		case <-wake.C:
		case <-ctx.Done():
			return
		}
	}
}

// guarded keeps a panic over one event from ending the node.
func (e *Engine) guarded(f func()) {
	defer func() {
		if p := recover(); p != nil {
			e.count.Engine.Panics.Inc()
			e.queue = nil
			e.log.Error("panic in the engine", "code", "panic", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	f()
}

// fire handles what has fallen due.
func (e *Engine) fire() {
	for {
		now := e.clock.Now()
		t, ok := e.timers.due(now)
		if !ok {
			return
		}
		e.count.Engine.LateBy.Max(int64((now - t.at) * 1000))
		if t.attempt == nil {
			e.step(balancer.TimerFired{Token: t.token})
		} else if t.attempt.open {
			e.expire(t.attempt)
		}
	}
}

// expire gives an attempt up whose time is over. One that was not written whole never ran.
func (e *Engine) expire(a *attempt) {
	result := balancer.Unreachable
	if a.copy.Abort() {
		result = balancer.TimedOut
	}
	e.ended(a, Completion{Outcome: result, Elapsed: e.clock.Now() - a.sentAt})
}

func (e *Engine) take(m message) {
	switch {
	case m.arrive:
		e.arrive(m.call)
	case m.uploaded:
		e.uploaded(m.call, m.expires)
	case m.leave:
		e.leave(m.call)
	case m.attempt != nil:
		if !m.attempt.open {
			e.count.Attempts.Late.Inc()
			m.end.discard()
			return
		}
		if m.end.ClientGone { // the client's leaving may be waiting behind this
			e.count.Attempts.Unwanted.Inc()
			e.leave(m.attempt.call)
			return
		}
		e.ended(m.attempt, *m.end)
	case m.list != nil:
		e.step(*m.list)
	case m.told != nil:
		e.step(*m.told)
	case m.event != nil:
		e.step(m.event)
	case m.between != nil:
		m.between()
	case m.end != nil:
		e.count.Probes.Open.Add(-1)
		e.count.ProbeOutcomes.Inc(OutcomeName(m.end.Outcome))
		e.step(balancer.LoadProbeCompleted{Server: m.server, Outcome: m.end.Outcome, Elapsed: m.end.Elapsed, Report: m.end.Report})
	}
}

func (e *Engine) arrive(c *call) {
	if c.closed { // left before it was looked at
		return
	}
	e.nextID++
	c.id = e.nextID
	a := c.exchange.Arrival()
	a.ID, c.expires, c.uploading = c.id, a.Deadline, a.UploadTimeout > 0
	e.live[c.id] = c
	e.step(a)
}

// uploaded gives a request whose body has come its true end, and its attempts theirs.
func (e *Engine) uploaded(c *call, expires balancer.Millis) {
	if c.closed {
		return
	}
	c.expires, c.uploading = expires, false
	for _, a := range c.attempts {
		if a.open {
			a.sentAt = e.clock.Now()
			e.timers.add(expires, "", a)
		}
	}
	e.step(balancer.BodyReceived{ID: c.id, Deadline: expires})
}

// leave ends a request that nobody waits for; what is out for it is withdrawn.
func (e *Engine) leave(c *call) {
	if c.closed {
		return
	}
	c.closed = true
	e.step(balancer.ClientCancelled{ID: c.id})
	for _, a := range c.attempts {
		e.withdraw(a)
	}
	e.forget(c)
}

func (e *Engine) withdraw(a *attempt) {
	if a.open {
		a.copy.Abort()
		e.ended(a, Completion{Outcome: balancer.Cancelled, Elapsed: e.clock.Now() - a.sentAt})
	}
}

// ended books an attempt's end: the first one served answers the client.
func (e *Engine) ended(a *attempt, end Completion) {
	c := a.call
	a.open, a.copy = false, nil
	c.open--
	e.count.Attempts.Open.Add(-1)
	e.count.Outcomes.Inc(OutcomeName(end.Outcome))
	if end.Outcome == balancer.OK && !c.closed {
		e.finish(c, Response{Kind: Served, Body: end.Body, Remaining: end.Remaining})
	} else {
		end.discard()
	}
	e.step(balancer.AttemptCompleted{ID: c.id, Attempt: a.n, Server: a.server, Outcome: end.Outcome, Elapsed: end.Elapsed,
		Closed: c.closed, Report: end.Report})
	e.forget(c)
}

func (e *Engine) finish(c *call, a Response) {
	if c.closed {
		return
	}
	c.closed = true
	c.exchange.Respond(a)
}

func (e *Engine) forget(c *call) {
	if c.closed && c.open == 0 {
		delete(e.live, c.id)
	}
}

// step lets the module decide on one event, and on those that carrying its actions out brings about.
func (e *Engine) step(event balancer.Event) {
	e.queue = append(e.queue, event)
	if len(e.queue) > 1 {
		return // the step above takes it next
	}
	for len(e.queue) > 0 {
		began := time.Now()
		actions := e.module.Step(e.clock.At(began), e.queue[0])
		e.count.Engine.Events.Inc()
		e.count.Engine.StepMax.Max(time.Since(began).Microseconds())
		for _, a := range actions {
			e.carry(a)
		}
		e.queue = e.queue[1:]
	}
	e.queue = nil
	e.recount()
}

// recount notes what the module tells of the list, once that has changed.
func (e *Engine) recount() {
	if e.census == nil || e.census.EndpointVersion() == e.changes {
		return
	}
	e.changes = e.census.EndpointVersion()
	listed, avoided := e.census.CountEndpoints()
	e.count.Registry.Entries.Set(int64(listed))
	e.count.Registry.Avoided.Set(int64(avoided))
}
