package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

// Close must write all queued lines before it returns, in their order, as JSON with the node's name.
func TestSinkWritesLinesInOrder(t *testing.T) {
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
		t.Errorf("wrote %q, want the messages one and two of the node n1, in this order", lines)
	}
}

// blockedWriter is an output that blocks until its channel is closed.
type blockedWriter struct{ unblock chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return len(p), nil
}

// Guards against a node that hangs because no process reads its standard error, so that writes block forever. Logging must continue
// without waiting and drop and count the lines that do not fit into the queue, and Close must return in time.
func TestSinkDropsLinesWhileOutputIsBlocked(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	var dropped counters.Count
	s := NewSink(out, &dropped)
	for range queueLines + batchBytes {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write() = %d, %v; want 5, nil", n, err)
		}
	}
	// The loop writes batchBytes lines more than the queue holds. One batch of 5-byte lines may be in the blocked write.
	if n, maxDropped := dropped.Get(), int64(batchBytes); n < maxDropped-batchBytes/5-1 || n > maxDropped {
		t.Errorf("dropped lines = %d, want %d to %d", n, maxDropped-batchBytes/5-1, maxDropped)
	}
	began := time.Now()
	s.Close()
	if took := time.Since(began); took > 20*closeTimeout {
		t.Errorf("Close() with a blocked output took %v, want at most %v", took, 20*closeTimeout)
	}
	close(out.unblock)
}
