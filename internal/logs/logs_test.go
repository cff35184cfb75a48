package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

// Lines are written as JSON with the node's name, in their order, and all of them before Close returns.
func TestLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	var dropped counters.Count
	s := NewSink(&out, &dropped)
	log := s.Logger("n1")
	log.Info("one", "code", "a")
	log.Info("two", "code", "b")
	s.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], `"msg":"one"`) || !strings.Contains(lines[1], `"code":"b"`) ||
		!strings.Contains(lines[1], `"node":"n1"`) {
		t.Errorf("wrote %q", lines)
	}
}

// stuckWriter is an output that blocks until its gate is closed.
type stuckWriter struct{ gate chan struct{} }

func (s stuckWriter) Write(p []byte) (int, error) {
	<-s.gate
	return len(p), nil
}

// A standard error that nobody reads blocks writes for ever. Logging must go on without waiting, drop what the queue does not hold,
// count that, and not hold up the exit.
func TestStuckOutputDropsAndCounts(t *testing.T) {
	out := stuckWriter{make(chan struct{})}
	var dropped counters.Count
	s := NewSink(out, &dropped)
	for range queueLines + batchBytes {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d %v", n, err)
		}
	}
	if n, most := dropped.Get(), int64(batchBytes); n < most-batchBytes/5-1 || n > most { // a batch may be on its way
		t.Errorf("%d lines dropped, want some under %d", n, most)
	}
	began := time.Now()
	s.Close()
	if took := time.Since(began); took > 20*closeTimeout {
		t.Errorf("closing a stuck log took %v", took)
	}
	close(out.gate)
}
