package discovery

import (
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

// shortGrace is the drain grace of the clients in these tests. It makes hedged calls follow each other within 150 ms.
const shortGrace = 300 * time.Millisecond

const (
	servingList  = `{"revision":41,"complete":true,"members":[{"id":"a","host_port":"1.1.1.1:1","phase":"SERVING"},{"id":"b","host_port":"1.1.1.1:2","phase":"SERVING"}]}`
	drainingList = `{"revision":42,"complete":true,"members":[{"id":"a","host_port":"1.1.1.1:1","phase":"DRAINING"},{"id":"b","host_port":"1.1.1.1:2","phase":"SERVING"}]}`
)

// callScript answers the calls of a client. The calls are numbered from 1; since is empty if the complete list is requested. A call
// for which it returns an empty body gets no response.
type callScript func(number int, since string) (body string)

// startScripted starts a discovery service that follows a script, and a client of it.
func startScripted(t *testing.T, script callScript) *Client {
	t.Helper()
	client := New(Options{Address: serveScript(t, script), DrainGrace: shortGrace, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Count: &counters.Counters{}}, List{})
	go client.Run(t.Context(), List{}, ignoreUpdates{})
	return client
}

// serveScript starts a discovery service that follows a script, and returns its address.
func serveScript(t *testing.T, script callScript) string {
	t.Helper()
	listener := listenTCP(t)
	var calls atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := script(int(calls.Add(1)), r.URL.Query().Get("from"))
		if body == "" {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, body)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// expectOffered waits until exactly the given servers of a and b have an address.
func expectOffered(t *testing.T, client *Client, within time.Duration, want string) {
	t.Helper()
	offered := ""
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		offered = ""
		for _, id := range []balancer.ServerID{"a", "b"} {
			if _, ok := client.Address(id); ok {
				offered += string(id)
			}
		}
		if offered == want {
			return
		}
	}
	t.Fatalf("servers with an address after %v = %q, want %q", within, offered, want)
}

// Changes of which one cannot be read are followed as far as they can be read, and the complete list is requested to settle the rest.
// Else a server that the unreadable entry offers again stays withdrawn for good.
func TestUnusableChangeIsSettledByCompleteList(t *testing.T) {
	settled := make(chan struct{})
	client := startScripted(t, func(number int, since string) string {
		switch number {
		case 1:
			return servingList
		case 2:
			return `{"revision":42,"complete":false,"members":[{"id":"a","host_port":"1.1.1.1:1","phase":"DRAINING"},{"id":"b","host_port":"nowhere","phase":"SERVING"}]}`
		case 3:
			<-settled
			if since != "" {
				t.Errorf("call after an unusable change continues from revision %s, want the complete list", since)
			}
			return drainingList
		}
		return ""
	})
	expectOffered(t, client, 5*time.Second, "")
	close(settled)
	expectOffered(t, client, 5*time.Second, "b")
}

// Discovery restarts and counts its revisions from the start. A watch that it answers with changes up to a lower revision says nothing
// of what changed before them: if the client goes on from there, it never learns of the drain in between.
func TestLowerRevisionIsSettledByCompleteList(t *testing.T) {
	client := startScripted(t, func(number int, since string) string {
		switch {
		case number == 1:
			return servingList
		case since == "41":
			return `{"revision":3,"complete":false,"members":[]}`
		case since == "":
			return `{"revision":3,"complete":true,"members":[{"id":"b","host_port":"1.1.1.1:2","phase":"SERVING"}]}`
		}
		return ""
	})
	expectOffered(t, client, 5*time.Second, "b")
}

// The address of discovery changes while the response to a watch is on its way. The old discovery has notified the node of the change
// by then, and the new one may not respond for seconds.
func TestResponseDuringAddressChangeIsApplied(t *testing.T) {
	watching, respond := make(chan struct{}), make(chan struct{})
	client := startScripted(t, func(number int, _ string) string {
		switch number {
		case 1:
			return servingList
		case 2:
			close(watching)
			<-respond
			return drainingList
		}
		return ""
	})
	silent := serveScript(t, func(int, string) string { return "" })
	<-watching
	expectOffered(t, client, 5*time.Second, "ab")
	client.SetAddress(silent)
	close(respond)
	expectOffered(t, client, time.Second, "b")
}

// After an outage several calls are in flight. The response that arrives first may be older than one that is still on its way, and
// discovery may be silent again afterwards.
func TestLaterResponseToHedgedCallIsApplied(t *testing.T) {
	answered := make(chan struct{})
	var once sync.Once
	client := startScripted(t, func(number int, since string) string {
		switch {
		case number == 2 && since == "": // the first hedged call, which is answered after the second one
			<-answered
			time.Sleep(50 * time.Millisecond)
			return drainingList
		case number == 3 && since == "":
			defer once.Do(func() { close(answered) })
			return servingList
		}
		return ""
	})
	<-answered
	expectOffered(t, client, time.Second, "b")
}

// A discovery service that answers watches at once, without news, must not be called without a pause: one node made 6,000 calls per
// second.
func TestWatchesWithoutNewsArePaced(t *testing.T) {
	var calls atomic.Int64
	startScripted(t, func(number int, since string) string {
		calls.Add(1)
		if since == "" {
			return servingList
		}
		return `{"revision":41,"complete":false,"members":[]}`
	})
	const duration = time.Second
	time.Sleep(duration)
	if n, most := calls.Load(), int64(duration/minWatchInterval)+2; n > most || n < 5 {
		t.Errorf("calls in %v = %d, want 5 to %d", duration, n, most)
	}
}

// The address of discovery changes while the client waits after a rejected watch. The new service counts its own revisions, so a watch
// from the old one's may not be answered when a server drains.
func TestAddressChangeAfterRejectionRequestsCompleteList(t *testing.T) {
	rejected := make(chan struct{})
	listener := listenTCP(t)
	var calls atomic.Int64
	old := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			_, _ = io.WriteString(w, servingList)
			return
		}
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		close(rejected)
	})}
	go func() { _ = old.Serve(listener) }()
	t.Cleanup(func() { _ = old.Close() })
	client := New(Options{Address: listener.Addr().String(), DrainGrace: shortGrace, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Count: &counters.Counters{}}, List{})
	go client.Run(t.Context(), List{}, ignoreUpdates{})
	<-rejected
	time.Sleep(100 * time.Millisecond) // the client has read the rejection and waits
	since := make(chan string, 16)
	client.SetAddress(serveScript(t, func(_ int, from string) string {
		since <- from
		if from == "" {
			return drainingList
		}
		return ""
	}))
	if from := <-since; from != "" {
		t.Errorf("first call at the new address continues from revision %s, want the complete list", from)
	}
	expectOffered(t, client, time.Second, "b")
}
