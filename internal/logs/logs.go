// Package logs queues lines of the log and writes them on a goroutine of their own, so that a slow standard error delays nobody.
// Lines that find the queue full are dropped and counted.
package logs

import (
	"io"
	"log/slog"
	"time"
)

const (
	// queueLines is the number of lines that may wait: some seconds of a busy node, about a megabyte at most.
	queueLines = 4096

	// batchBytes is about the most that is written by one call. Lines that wait together are written together, since a call for
	// each would take a busy node too much CPU.
	batchBytes = 32 << 10

	// closeTimeout bounds Close: a standard error that is stuck must not hold up the exit.
	closeTimeout = 200 * time.Millisecond

	// enqueueTimeout is how long a WaitingSink waits for a place in the queue.
	enqueueTimeout = 100 * time.Millisecond
)

// Counter counts dropped lines.
type Counter interface{ Inc() }

// Sink is an io.Writer that never waits.
type Sink struct {
	lines   chan []byte // nil: the end
	done    chan struct{}
	dropped Counter
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer, dropped Counter) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines), done: make(chan struct{}), dropped: dropped}
	go s.run(out)
	return s
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	var batch []byte
	for ended := false; !ended; {
		batch, ended = s.nextBatch(batch[:0])
		_, _ = out.Write(batch) // there is nowhere to report that the log cannot be written
	}
}

// nextBatch waits for a line, and adds those that wait behind it. It reports whether the end was among them.
func (s *Sink) nextBatch(batch []byte) (lines []byte, ended bool) {
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

// copyLine copies a line, whose buffer the logger uses again. It is never nil.
func copyLine(p []byte) []byte { return append(make([]byte, 0, len(p)), p...) }

// Write queues one line, or drops it. It reports no error in either case.
func (s *Sink) Write(p []byte) (int, error) {
	select {
	case s.lines <- copyLine(p):
	default:
		s.dropped.Inc()
	}
	return len(p), nil
}

// Logger returns a logger that writes one JSON object a line to the sink.
func (s *Sink) Logger(node string) *slog.Logger { return newLogger(s, node) }

// Close writes what is queued, for a bounded time. Later lines are lost.
func (s *Sink) Close() {
	timeout := time.After(closeTimeout)
	select {
	case s.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-s.done:
	case <-timeout:
	}
}

// Waiting returns a writer into the same sink for the few lines that must not be lost.
func (s *Sink) Waiting() *WaitingSink { return &WaitingSink{s} }

// WaitingSink is an io.Writer that waits for a place in a sink's queue, for a bounded time.
type WaitingSink struct{ sink *Sink }

// Write queues one line, and drops it only if no place became free in time. It reports no error in either case.
func (w *WaitingSink) Write(p []byte) (int, error) {
	timeout := time.NewTimer(enqueueTimeout)
	defer timeout.Stop()
	select {
	case w.sink.lines <- copyLine(p):
	case <-timeout.C:
		w.sink.dropped.Inc()
	}
	return len(p), nil
}

// Logger returns a logger that writes one JSON object a line to the sink.
func (w *WaitingSink) Logger(node string) *slog.Logger { return newLogger(w, node) }

func newLogger(out io.Writer, node string) *slog.Logger {
	return slog.New(slog.NewJSONHandler(out, nil)).With("node", node)
}
