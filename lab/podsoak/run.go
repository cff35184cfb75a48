package podsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"tackhub.example/tackhub/lab/catalog"
)

const (
	serverCount = 9
	podCount    = 3

	// keyedClients and readingClients are the numbers of clients, each with one request at a time.
	keyedClients   = 8
	readingClients = 4

	// requestPause is the longest pause of a client between two requests.
	requestPause = 30 * time.Millisecond

	// minEventPause and maxEventPause limit the time between two events of a plan.
	minEventPause = 100 * time.Millisecond
	maxEventPause = 1800 * time.Millisecond

	// minRepeats is the number of repeats below which a run has not checked anything.
	minRepeats = 10
)

// Options are the options of a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Program  []string // the node's program and its arguments
	Dir      string   // of the node's files and logs
	Quiet    bool     // the file is never changed, and the node goes on as it is
}

// Outcome is the result of a run.
type Outcome struct {
	Requests int            // keyed requests
	Served   int            // of these
	Repeats  int            // attempts at keys that had run before
	Events   map[string]int // by kind
	Breaches []string       // keys that had their effect twice
}

// String returns the figures of a run.
func (o Outcome) String() string {
	return fmt.Sprintf("%d keyed requests, %d served, %d repeats, events %v, %d keys twice", o.Requests, o.Served, o.Repeats, o.Events, len(o.Breaches))
}

// run is a run in progress.
type run struct {
	options   Options
	rng       *rand.Rand
	fleet     *fleet
	node      *node
	discovery *discoveryServer
	numbered  bool // pods are numbers, and discovery lists them as cells
	inventory bool // [inventory] is on
	pods      []string
	previous  []string
	events    map[string]int

	mu       sync.Mutex
	requests int
	served   int
}

// Run plays one seeded run. The error tells that it could not be played, or that it checked nothing.
func Run(ctx context.Context, o Options) (Outcome, error) {
	r := &run{options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), numbered: o.Seed%2 == 0, inventory: true, events: map[string]int{}}
	if err := r.begin(); err != nil {
		return Outcome{}, err
	}
	defer r.end()
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var clients sync.WaitGroup
	for i := range keyedClients + readingClients {
		rng := rand.New(rand.NewPCG(o.Seed, uint64(100+i)))
		clients.Go(func() { r.sendRequests(ctx, rng, i, i < keyedClients) })
	}
	err := r.play(ctx)
	clients.Wait()
	outcome := Outcome{Requests: r.requests, Served: r.served, Repeats: r.fleet.repeats, Events: r.events, Breaches: r.fleet.breaches()}
	if err == nil && outcome.Repeats < minRepeats {
		err = fmt.Errorf("seed %d: only %d repeats, nothing was checked", o.Seed, outcome.Repeats)
	}
	return outcome, err
}

// begin starts servers, discovery and node.
func (r *run) begin() error {
	for i := range serverCount {
		r.pods = append(r.pods, r.podName(1+i%podCount))
	}
	r.previous = r.pods
	var err error
	if r.fleet, err = startFleet(r.pods, r.options.Seed); err != nil {
		return err
	}
	if r.discovery, err = startDiscovery(r.members(), r.options.Seed); err != nil {
		return err
	}
	if r.node, err = newNode(r.options.Program, r.options.Dir, r.discovery.address); err != nil {
		return err
	}
	if err := r.writeFile(r.fleet.file(r.pods)); err != nil {
		return err
	}
	if err := r.writeOperatorFile("10m"); err != nil {
		return err
	}
	return r.node.start()
}

func (r *run) end() {
	if r.node != nil {
		r.node.kill()
	}
	if r.discovery != nil {
		r.discovery.close()
	}
	r.fleet.close()
}

// podName returns the name of a pod.
func (r *run) podName(number int) string {
	if r.numbered {
		return strconv.Itoa(number)
	}
	return fmt.Sprintf("pod-%d", number)
}

// members returns discovery's list: none if the pods are not numbers.
func (r *run) members() []catalog.Member {
	numbers, ok := cells(r.pods)
	if !ok {
		return nil
	}
	var list []catalog.Member
	for i, cell := range numbers {
		list = append(list, catalog.Member{ID: serverID(i), HostPort: r.fleet.addresses[i], Locality: "a", Cell: cell, Phase: catalog.PhaseServing, Size: 1})
	}
	return list
}

// writeFile replaces the inventory file.
func (r *run) writeFile(content []byte) error {
	path := r.node.path("servers.csv")
	if err := os.WriteFile(path+".new", content, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// writeOperatorFile writes the operator file, with or without [inventory].
func (r *run) writeOperatorFile(tombstone string) error {
	text := ""
	if r.inventory {
		text = fmt.Sprintf("[inventory]\ndiscovery = %v\ntombstone = %q\npoll = \"200ms\"\nsettle = \"50ms\"\nsave_every = \"50ms\"\nstate_dir = %q\n"+
			"[[inventory.file]]\npath = %q\nname = \"tools\"\ntrailer = true\n", r.numbered, tombstone, r.node.path("state"), r.node.path("servers.csv"))
	}
	return os.WriteFile(r.node.path("edge.toml"), []byte(text), 0o600)
}

// sendRequests sends requests, each with a key of its own if they are keyed, until the run ends.
func (r *run) sendRequests(ctx context.Context, rng *rand.Rand, client int, keyed bool) {
	for n := 0; ctx.Err() == nil; n++ {
		served := send(r.node.address, client, n, keyed)
		if keyed {
			r.mu.Lock()
			r.requests++
			if served {
				r.served++
			}
			r.mu.Unlock()
		}
		time.Sleep(time.Duration(rng.Int64N(int64(requestPause))))
	}
}

// play plays events until the run ends.
func (r *run) play(ctx context.Context) error {
	for {
		pause := minEventPause + time.Duration(r.rng.Int64N(int64(maxEventPause-minEventPause)))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		if r.options.Quiet {
			continue
		}
		kind := eventKinds[r.rng.IntN(len(eventKinds))]
		if err := r.playEvent(kind); err != nil {
			return fmt.Errorf("seed %d, event %s: %w", r.options.Seed, kind, err)
		}
		r.events[kind]++
	}
}

// eventKinds are the events of a plan.
var eventKinds = []string{"move", "move", "move", "back", "rename", "no pod", "same", "torn", "toggle", "key", "restart", "stale restart", "upgrade"}

func (r *run) playEvent(kind string) error {
	switch kind {
	case "move":
		return r.setPods(r.movedPods())
	case "back":
		return r.setPods(r.previous)
	case "rename":
		return r.setPods(r.renamedPods())
	case "no pod":
		return r.setPods(r.podsWithoutOne())
	case "same":
		return r.writeFile(r.fleet.file(r.pods))
	case "torn":
		return r.writeTorn()
	case "toggle":
		return r.toggleInventory()
	case "key":
		return r.changeKey()
	case "restart":
		r.node.kill()
		return r.node.start()
	case "stale restart":
		r.node.kill()
		if err := r.setPods(r.movedPods()); err != nil {
			return err
		}
		time.Sleep(newsTime)
		return r.node.start()
	case "upgrade":
		return r.node.upgrade(time.Duration(r.rng.Int64N(int64(500 * time.Millisecond))))
	}
	return fmt.Errorf("unknown event %q", kind)
}

// setPods changes the pods: of the servers, in the file and in discovery's list.
func (r *run) setPods(pods []string) error {
	r.previous, r.pods = r.pods, pods
	r.fleet.setPods(pods)
	if r.numbered {
		r.discovery.apply(r.members())
	}
	return r.writeFile(r.fleet.file(pods))
}

// movedPods moves some servers, or all, to drawn pods.
func (r *run) movedPods() []string {
	pods := slices.Clone(r.pods)
	for i := range pods {
		if r.rng.IntN(3) == 0 {
			pods[i] = r.podName(1 + r.rng.IntN(podCount))
		}
	}
	return pods
}

// renamedPods gives all servers of one pod a name that no pod has had.
func (r *run) renamedPods() []string {
	pods := slices.Clone(r.pods)
	old, fresh := pods[r.rng.IntN(len(pods))], r.podName(100+r.events["rename"])
	for i, pod := range pods {
		if pod == old {
			pods[i] = fresh
		}
	}
	return pods
}

// podsWithoutOne takes one server out of its pod. Discovery has a cell for each server, so there the server gets a pod of its own.
func (r *run) podsWithoutOne() []string {
	pods := slices.Clone(r.pods)
	i := r.rng.IntN(len(pods))
	pods[i] = ""
	if r.numbered {
		pods[i] = r.podName(1000 + r.events["no pod"])
	}
	return pods
}

// writeTorn writes half of a file in place, then the whole one.
func (r *run) writeTorn() error {
	content := r.fleet.file(r.pods)
	if err := os.WriteFile(r.node.path("servers.csv"), content[:len(content)/2], 0o600); err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	return os.WriteFile(r.node.path("servers.csv"), content, 0o600)
}

// toggleInventory turns [inventory] on or off, if discovery has the servers as well.
func (r *run) toggleInventory() error {
	if !r.numbered {
		return nil
	}
	r.inventory = !r.inventory
	if err := r.writeOperatorFile("10m"); err != nil {
		return err
	}
	r.node.reload()
	return nil
}

// changeKey changes a key of [inventory].
func (r *run) changeKey() error {
	if err := r.writeOperatorFile(fmt.Sprintf("%dm", 1+r.rng.IntN(50))); err != nil {
		return err
	}
	r.node.reload()
	return nil
}
