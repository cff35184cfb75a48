package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// podFleet is a fleet of servers that share the keys of keyed requests by the pods of the inventory file, as it is now.
type podFleet struct {
	mu        sync.Mutex
	servers   []*backend
	pods      []string // of each server, by the file
	changedAt time.Time
	keys      map[string]map[string]time.Time // by pod: when each key was seen
	effects   map[string][]podEffect          // by key
	repeats   int
	window    time.Duration
}

// podEffect is an effect of a keyed request.
type podEffect struct {
	at        time.Time
	where     string
	unchanged time.Duration // how long the file had been unchanged
}

// newsTime is how long after a change of the file the node is given to read it: settle, poll and the merge, ten times over.
const newsTime = time.Second

// startPodFleet starts a server for each pod in the list.
func startPodFleet(t *testing.T, pods []string) *podFleet {
	t.Helper()
	f := &podFleet{keys: map[string]map[string]time.Time{}, effects: map[string][]podEffect{}, window: 800 * time.Millisecond}
	for i := range pods {
		f.servers = append(f.servers, startBackend(t, fmt.Sprintf("s%d", i), func(c net.Conn, req receivedRequest) bool { return f.serve(c, req, i) }))
	}
	f.setPods(pods)
	return f
}

// setPods moves the servers to the pods of a list, and returns the inventory file that says so.
func (f *podFleet) setPods(pods []string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pods = pods
	f.changedAt = time.Now()
	byServer := map[*backend]string{}
	for i, s := range f.servers {
		byServer[s] = pods[i]
	}
	return inventoryCSV(byServer, f.servers...)
}

// serve runs a keyed request unless its pod remembers the key. The first attempt of every other key is reset while it runs.
func (f *podFleet) serve(c net.Conn, req receivedRequest, server int) bool {
	key := req.header.Get("Idempotency-Key")
	if key == "" {
		return respond(200, "done")(c, req)
	}
	first, reset := f.run(key, server)
	time.Sleep(15 * time.Millisecond)
	if first && reset {
		return resetConn(c, req)
	}
	return respond(200, "done")(c, req)
}

// run records the effect of a key at a server, unless its pod drops it as a repeat.
func (f *podFleet) run(key string, server int) (first, reset bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, pod := time.Now(), f.pods[server]
	if f.keys[pod] == nil {
		f.keys[pod] = map[string]time.Time{}
	}
	first = len(f.effects[key]) == 0
	if !first {
		f.repeats++
	}
	if seenAt, seen := f.keys[pod][key]; !seen || now.Sub(seenAt) > f.window {
		f.keys[pod][key] = now
		f.effects[key] = append(f.effects[key], podEffect{now, fmt.Sprintf("s%d in %s", server, pod), now.Sub(f.changedAt)})
	}
	return first, len(f.effects)%2 == 0
}

// send sends keyed requests until the end. It returns how many were served.
func (f *podFleet) send(p *nodeProcess, client int, end time.Time) (served int) {
	for n := 0; time.Now().Before(end); n++ {
		raw := strings.Replace(request("store", 1200), "5c0f6e1a2b3d4c59", fmt.Sprintf("client-%d-%d", client, n), 1)
		if resp, err := p.do(raw); err == nil && resp.status == 200 {
			served++
		}
		time.Sleep(25 * time.Millisecond)
	}
	return served
}

// twice returns the keys with two effects between which, and for newsTime before them, the file was not changed.
func (f *podFleet) twice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for key, effects := range f.effects {
		if len(effects) < 2 {
			continue
		}
		unchangedSince := effects[1].at.Add(-effects[1].unchanged)
		if effects[0].at.Sub(unchangedSince) >= newsTime {
			out = append(out, fmt.Sprintf("%s at %s and %s", key, effects[0].where, effects[1].where))
		}
	}
	return out
}

// A file moves servers between pods, and servers that wait for their turn to move stand on in the old pod: repeats of keyed requests run twice,
// once in either pod. Each change of the file must count with the push that brings it. The neighbour is a file that is written again unchanged.
func TestRepeatsRunOnceWhileFilesMoveServersBetweenPods(t *testing.T) {
	initial := []string{"p1", "p1", "p1", "p1", "p1", "p2", "p2", "p2"}
	swapped := []string{"p2", "p2", "p2", "p2", "p2", "p1", "p1", "p1"}
	moved := func(n int) []string {
		return append(append([]string{"p1", "p1"}, strings.Fields(strings.Repeat("p2 ", n))...), initial[2+n:]...)
	}
	for name, c := range map[string]struct {
		files [][]string
		apart time.Duration
	}{
		"all change":            {[][]string{swapped}, 0},
		"pods of their own":     {[][]string{{"p1", "p1", "o1", "o2", "o3", "p2", "p2", "p2"}}, 0},
		"three move":            {[][]string{moved(3)}, 0},
		"three move and return": {[][]string{moved(3), initial}, 1300 * time.Millisecond},
		"three in three files":  {[][]string{moved(1), moved(2), moved(3)}, 1300 * time.Millisecond},
		"unchanged":             {[][]string{initial}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startPodFleet(t, initial)
			p, path, _ := startWithInventory(t, f.setPods(initial), "discovery = false", startDiscoveryServer(t, []member{}))
			eventually(t, "a served request", func() bool { return p.mustDo(request("look", 1000)).status == 200 })
			end := time.Now().Add(time.Duration(len(c.files))*c.apart + 3500*time.Millisecond)
			var clients sync.WaitGroup
			for i := range 6 {
				clients.Go(func() { f.send(p, i, end) })
			}
			for _, pods := range c.files {
				writeFile(t, path, f.setPods(pods))
				time.Sleep(c.apart)
			}
			clients.Wait()
			for _, key := range f.twice() {
				t.Errorf("%s", key)
			}
			if f.repeats < 10 {
				t.Errorf("%d repeats were sent, want 10 at least", f.repeats)
			}
		})
	}
}
