// Package logs queues log lines and writes them on a separate goroutine, so that a slow standard error does not delay the callers.
// If the queue is full, lines are dropped and counted.
package logs

import (
	"io"
	"log/slog"
	"time"
)

const (
	// queueLines is the capacity of the queue in lines. A busy node logs that many in a few seconds. They use about a megabyte of
	// memory at most.
	queueLines = 4096

	// batchBytes is the approximate maximum of one write call. Queued lines are written together, since one call per line would
	// use too much CPU on a busy node.
	batchBytes = 32 << 10

	// closeTimeout limits the duration of Close, so that a blocked standard error does not block the exit of the process.
	closeTimeout = 200 * time.Millisecond

	// enqueueTimeout limits how long a WaitingSink waits for space in the queue.
	enqueueTimeout = 100 * time.Millisecond
)

// Counter counts dropped lines.
type Counter interface{ Inc() }

// Sink is an io.Writer that queues lines and never blocks.
type Sink struct {
	lines   chan []byte // a nil line marks the end
	done    chan struct{}
	dropped Counter
}

// NewSink returns a sink that writes to out until Close is called.
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
		_, _ = out.Write(batch) // an error cannot be reported, since this is the log
	}
}

// nextBatch waits for a line, and appends it and further queued lines to batch. It reports whether the end was reached.
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

// copyLine copies a line, since the logger reuses its buffer. The result is never nil, since a nil line marks the end.
func copyLine(p []byte) []byte { return append(make([]byte, 0, len(p)), p...) }

// Write queues one line, or drops it if the queue is full. It never returns an error.
func (s *Sink) Write(p []byte) (int, error) {
	select {
	case s.lines <- copyLine(p):
	default:
		s.dropped.Inc()
	}
	return len(p), nil
}

// Logger returns a logger that writes one JSON object per line to the sink.
func (s *Sink) Logger(node string) *slog.Logger { return newLogger(s, node) }

// Close waits until the queued lines are written, for closeTimeout at most. Lines queued after it are lost.
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

// Waiting returns a writer to the same queue that waits for space, for the few lines that must not be lost.
func (s *Sink) Waiting() *WaitingSink { return &WaitingSink{s} }

// WaitingSink is an io.Writer that waits for space in a sink's queue, for enqueueTimeout at most.
type WaitingSink struct{ sink *Sink }

// Write queues one line, and drops it only if the queue has no space within enqueueTimeout. It never returns an error.
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

// Logger returns a logger that writes one JSON object per line to the sink.
func (w *WaitingSink) Logger(node string) *slog.Logger { return newLogger(w, node) }

func newLogger(out io.Writer, node string) *slog.Logger {
	return slog.New(slog.NewJSONHandler(out, nil)).With("node", node)
}
