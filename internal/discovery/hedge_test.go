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

// A discovery that comes back does not answer the calls that were in flight. Nodes that waited for the end of such a call kept
// a list with servers that drained, and sent requests to them for 0.6 s beyond the grace.
func TestHedgedPollDoesNotWaitForLostCalls(t *testing.T) {
	for _, tc := range deployments {
		t.Run(fmt.Sprintf("%d nodes, %v", tc.nodes, tc.grace), func(t *testing.T) {
			t.Parallel()
			l := listenTCP(t)
			client := New(Options{Address: l.Addr().String(), Nodes: tc.nodes, DrainGrace: tc.grace, MaxPollInterval: 200 * time.Millisecond,
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, List{})
			defer func() { client.currentTransport().abort() }()
			go client.Run(t.Context(), List{}, ignoreList{})
			for call := 0; call < 2; { // the first two calls get no answer
				nc, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = nc.Close() }()
				if _, err := nc.Read(make([]byte, 1)); err != nil {
					t.Fatal(err)
				}
				call++
			}
			back := time.Now()
			nc, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			if took := time.Since(back); took > tc.grace {
				t.Errorf("called again %v after discovery was back", took)
			}
			if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(goodAnswer))+"\r\n\r\n"+goodAnswer); err != nil {
				t.Fatal(err)
			}
			for end := time.Now().Add(10 * time.Second); client.Size() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the list never came")
				}
			}
		})
	}
}
