package endpoints

import (
	"context"
	"io"
	"log/slog"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// fakeNode is a node without discovery. It queues the updates for the balancer in a channel.
type fakeNode struct {
	directory *Directory
	count     *counters.Counters
	clock     clock.Clock
	updates   chan balancer.EndpointUpdate

	mu        sync.Mutex
	refetches int
}

func newFakeNode() *fakeNode {
	n := &fakeNode{count: &counters.Counters{}, clock: clock.New(), updates: make(chan balancer.EndpointUpdate, 10_000)}
	n.directory = New(n, n)
	return n
}

func (n *fakeNode) Address(id balancer.ServerID) (string, bool) {
	return "discovery:" + string(id), true
}

func (n *fakeNode) Refetch() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refetches++
}

func (n *fakeNode) UpdateEndpoints(u balancer.EndpointUpdate) { n.updates <- u }
func (n *fakeNode) Endpoints() *Directory                     { return n.directory }
func (n *fakeNode) Clock() clock.Clock                        { return n.clock }
func (n *fakeNode) Counters() *counters.Counters              { return n.count }

// nextUpdate waits up to 10 s for the next update for the balancer.
func (n *fakeNode) nextUpdate(t testing.TB) balancer.EndpointUpdate {
	t.Helper()
	select {
	case u := <-n.updates:
		return u
	case <-time.After(10 * time.Second):
		t.Fatal("no update for the balancer within 10 s")
	}
	panic("unreachable")
}

// start builds and starts the subsystem. text is the content of an operator file with the options.
func (n *fakeNode) start(t testing.TB, text string) subsystem.Instance {
	t.Helper()
	f, err := operator.Parse("edge.toml", text, []operator.Section{Subsystem().Section})
	if err != nil {
		t.Fatal(err)
	}
	host := subsystem.Host{Node: n, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	running, err := Subsystem().Build(host, f.Options("inventory"), nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	running.Start(ctx)
	t.Cleanup(func() { running.Stop(); cancel() })
	return running
}

// writeFile replaces a file atomically: it writes a temporary file and renames it.
func writeFile(t testing.TB, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path+".tmp", data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		t.Fatal(err)
	}
}

// describe returns the sorted ids of an update as text, with the suffix ~ for a draining server and - for a removed one.
func describe(u balancer.EndpointUpdate) string {
	var out []string
	for _, e := range u.Endpoints {
		id := string(e.ID)
		switch e.State {
		case balancer.Draining:
			id += "~"
		case balancer.Removed:
			id += "-"
		}
		out = append(out, id)
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}
