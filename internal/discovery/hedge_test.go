package discovery

import (
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

// When discovery recovers, it does not answer the calls that were in flight. Nodes that waited for such a call to time out kept an
// outdated list and sent requests to draining servers for 0.6 s after the end of the drain grace.
func TestHedgedPollDoesNotWaitForLostCalls(t *testing.T) {
	for _, tc := range deployments {
		t.Run(fmt.Sprintf("%d nodes, %v", tc.nodes, tc.grace), func(t *testing.T) {
			t.Parallel()
			listener := listenTCP(t)
			client := New(Options{Address: listener.Addr().String(), Nodes: tc.nodes, DrainGrace: tc.grace, MaxPollInterval: 200 * time.Millisecond,
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, List{})
			defer func() { client.currentTransport().abort() }()
			go client.Run(t.Context(), List{}, ignoreUpdates{})
			for call := 0; call < 2; { // the first two calls get no response
				conn, err := listener.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 1)); err != nil {
					t.Fatal(err)
				}
				call++
			}
			recovered := time.Now()
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if took := time.Since(recovered); took > tc.grace {
				t.Errorf("next call arrived %v after discovery recovered, want at most %v", took, tc.grace)
			}
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(sampleListJSON))+"\r\n\r\n"+sampleListJSON); err != nil {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(10 * time.Second); client.Size() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("client has no list 10 s after the response")
				}
			}
		})
	}
}
