// Package podsoak plays one node whose servers a configuration tool moves between pods, by seeded plans: files that are rewritten, renamed,
// half written and moved back, [inventory] turned on and off, restarts with a saved list, upgrades. Keyed requests run under it whose
// connections are reset. The auditor knows the pods by the file, and reports each key that had its effect twice.
package podsoak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/inventory"
)

const (
	// window is the time for which the servers of a pod drop repeats of a key.
	window = 1500 * time.Millisecond

	// newsTime is how long after a change of the pods the node is given to read it.
	newsTime = time.Second

	// maxWork is the longest time that a server takes for a request.
	maxWork = 60 * time.Millisecond

	// resetFraction is the fraction of the first attempts whose connection is reset while they run.
	resetFraction = 0.5
)

// effect is one effect of a keyed request.
type effect struct {
	at     time.Time
	server int
	group  string
	// podsSince is since when the pods have been as they were at that time.
	podsSince time.Time
}

// fleet is a set of servers that share the keys of requests by pod, as the file says now.
type fleet struct {
	addresses []string
	listeners []net.Listener
	handlers  sync.WaitGroup

	mu        sync.Mutex
	rng       *rand.Rand
	pods      []string // by server; "": the server has no pod
	podsSince time.Time
	seenAt    map[string]time.Time // by group and key
	effects   map[string][]effect  // by key
	repeats   int
	conns     map[net.Conn]bool
}

// startFleet starts a server for each pod.
func startFleet(pods []string, seed uint64) (*fleet, error) {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), pods: pods, podsSince: time.Now(), seenAt: map[string]time.Time{},
		effects: map[string][]effect{}, conns: map[net.Conn]bool{}}
	for i := range pods {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.close()
			return nil, err
		}
		f.listeners = append(f.listeners, l)
		f.addresses = append(f.addresses, l.Addr().String())
		f.handlers.Go(func() { f.accept(l, i) })
	}
	return f, nil
}

// close ends all servers.
func (f *fleet) close() {
	for _, l := range f.listeners {
		_ = l.Close()
	}
	f.mu.Lock()
	for c := range f.conns {
		_ = c.Close()
	}
	f.mu.Unlock()
	f.handlers.Wait()
}

// setPods changes the pods of all servers at once.
func (f *fleet) setPods(pods []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pods = pods
	f.podsSince = time.Now()
}

// file returns an inventory file with the given pods.
func (f *fleet) file(pods []string) []byte {
	var list []inventory.Server
	for i, address := range f.addresses {
		list = append(list, inventory.Server{ID: serverID(i), Address: address, Zone: "a", Pod: pods[i], Size: 1, Phase: inventory.Serving})
	}
	return inventory.WriteCSV(list)
}

// serverID returns the id of a server.
func serverID(server int) string { return fmt.Sprintf("s%d", server) }

func (f *fleet) accept(l net.Listener, server int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		f.handlers.Go(func() {
			f.serve(c, server)
			_ = c.Close()
			f.mu.Lock()
			delete(f.conns, c)
			f.mu.Unlock()
		})
	}
}

// serve serves the requests of one connection.
func (f *fleet) serve(c net.Conn, server int) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		work, reset := f.run(request.Header.Get("Idempotency-Key"), server)
		time.Sleep(work)
		if reset {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // the connection is closed next
			}
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"); err != nil {
			return
		}
	}
}

// run records the effect of a key at a server, unless its group drops it as a repeat. It returns how long the request takes, and whether its
// connection is reset then. A request without a key has no effect.
func (f *fleet) run(key string, server int) (work time.Duration, reset bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	work = time.Duration(f.rng.Int64N(int64(maxWork)))
	if key == "" {
		return work, false
	}
	now := time.Now()
	group := f.group(server)
	isFirst := len(f.effects[key]) == 0
	seenKey := group + " " + key
	if seenAt, seen := f.seenAt[seenKey]; !seen || now.Sub(seenAt) > window {
		f.seenAt[seenKey] = now
		f.effects[key] = append(f.effects[key], effect{at: now, server: server, group: group, podsSince: f.podsSince})
	}
	if !isFirst {
		f.repeats++
	}
	return work, isFirst && f.rng.Float64() < resetFraction
}

// group returns the name of the servers that share a server's keys. The caller must hold f.mu.
func (f *fleet) group(server int) string {
	if f.pods[server] == "" {
		return "only " + serverID(server)
	}
	return "pod " + f.pods[server]
}

// breaches describes the keys that had their effect twice within the window while the pods had been known to the node: they had not changed
// for newsTime before the first effect, nor until the second one.
func (f *fleet) breaches() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for key, effects := range f.effects {
		if len(effects) < 2 {
			continue
		}
		first, second := effects[0], effects[1]
		known := first.at.Sub(second.podsSince) >= newsTime
		if !known || second.at.Sub(first.at) > window {
			continue
		}
		out = append(out, fmt.Sprintf("%s at %s in %s, and %d ms later at %s in %s; the pods had been the same for %d ms", key, serverID(first.server),
			first.group, second.at.Sub(first.at).Milliseconds(), serverID(second.server), second.group, first.at.Sub(second.podsSince).Milliseconds()))
	}
	return out
}

// cells returns the pods as discovery's cells; false if they are not numbers.
func cells(pods []string) (numbers []int, ok bool) {
	for _, pod := range pods {
		n, err := strconv.Atoi(strings.TrimSpace(pod))
		if err != nil {
			return nil, false
		}
		numbers = append(numbers, n)
	}
	return numbers, true
}
