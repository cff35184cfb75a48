// Package logs holds the log's queue: lines are written by a goroutine of their own, so that a slow standard
// error stalls nobody. Lines that find the queue full are dropped and counted.
package logs

import (
	"io"
	"log/slog"
	"time"
)

const (
	queueLen = 4096 // lines; some seconds of a busy node, and about a megabyte at most

	batchBytes = 32 << 10 // lines that wait together are written together: a call for each costs a busy node CPU

	closeWait = 200 * time.Millisecond // at exit a stuck standard error must not hold the process

	lineWait = 100 * time.Millisecond // a line of the end waits so long for its place in the queue
)

// Counter counts dropped lines.
type Counter interface{ Inc() }

// Sink is an io.Writer that never waits.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	dropped Counter
}

// NewSink starts writing to out.
func NewSink(out io.Writer, dropped Counter) *Sink {
	s := &Sink{lines: make(chan []byte, queueLen), done: make(chan struct{}), dropped: dropped}
	go s.run(out)
	return s
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	batch, ended := []byte(nil), false
	for !ended {
		batch, ended = s.gather(batch[:0])
		_, _ = out.Write(batch) // there is nowhere to report that the log cannot be written
	}
}

// gather waits for a line and takes those that wait behind it; it tells whether the end was among them.
func (s *Sink) gather(batch []byte) ([]byte, bool) {
	line := <-s.lines
	for line != nil {
		batch = append(batch, line...)
		if len(batch) >= batchBytes {
			return batch, false
		}
		select {
		case line = <-s.lines:
		default:
			return batch, false
		}
	}
	return batch, true
}

// Write queues one line.
func (s *Sink) Write(p []byte) (int, error) {
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Inc()
	}
	return len(p), nil
}

// Waiting is the sink for the few lines that must not be lost: a full queue is waited for, for a bounded time.
func (s *Sink) Waiting() *WaitingSink { return &WaitingSink{s} }

// WaitingSink is an io.Writer into a sink that waits for a place in the queue.
type WaitingSink struct{ sink *Sink }

// Write queues one line, and drops it only where no place came free in time.
func (w *WaitingSink) Write(p []byte) (int, error) {
	line := append(make([]byte, 0, len(p)), p...)
	limit := time.NewTimer(lineWait)
	defer limit.Stop()
	select {
	case w.sink.lines <- line:
	case <-limit.C:
		w.sink.dropped.Inc()
	}
	return len(p), nil
}

// Logger writes one JSON object a line to the sink.
func (w *WaitingSink) Logger(node string) *slog.Logger { return logger(w, node) }

// Close writes what is queued, for a bounded time. Later lines are lost.
func (s *Sink) Close() {
	limit := time.After(closeWait)
	select {
	case s.lines <- nil:
	case <-limit:
		return
	}
	select {
	case <-s.done:
	case <-limit:
	}
}

// Logger writes one JSON object a line to the sink.
func (s *Sink) Logger(node string) *slog.Logger {
	return logger(s, node)
}

func logger(out io.Writer, node string) *slog.Logger {
	return slog.New(slog.NewJSONHandler(out, nil)).With("node", node)
}
