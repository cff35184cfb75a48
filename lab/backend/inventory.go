package backend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/lab/audit"
)

const (
	// readDelay is how long after a good file is in place a node counts as notified: its settle time and its poll.
	readDelay = 400 * time.Millisecond

	// chunk and chunkPause are the pace of a tool that writes a file in place.
	chunk      = 4096
	chunkPause = time.Millisecond
)

// InventoryWriter keeps each node's inventory file as a configuration tool would, well and badly.
type InventoryWriter struct {
	fleet *Fleet
	dir   string
	rng   *rand.Rand

	mu        sync.Mutex
	updates   []audit.ListUpdate
	withdrawn []map[string]bool // by node: what the last good file took away or drains
	GoodFiles int               // files put in place whole
	BadFiles  int
}

// NewInventoryWriter writes the first, good files and an operator file for each node.
func NewInventoryWriter(f *Fleet, dir string) (*InventoryWriter, error) {
	w := &InventoryWriter{fleet: f, dir: dir, rng: rand.New(rand.NewPCG(f.scenario.Seed, 77))}
	for node := range f.scenario.Nodes.Count {
		w.withdrawn = append(w.withdrawn, map[string]bool{})
		if err := os.WriteFile(w.path(node), w.content(node), 0o600); err != nil {
			return nil, err
		}
		edge := fmt.Sprintf("[inventory]\ndiscovery = false\npoll = \"200ms\"\nsettle = \"100ms\"\nremove_share = 0.5\n\n"+
			"[[inventory.file]]\npath = %q\nname = \"tools\"\ntrailer = true\n", w.path(node))
		if err := os.WriteFile(OperatorFilePath(dir, node), []byte(edge), 0o600); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// OperatorFilePath is where a node's operator file lies in a folder.
func OperatorFilePath(dir string, node int) string {
	return filepath.Join(dir, fmt.Sprintf("edge%d.toml", node))
}

func (w *InventoryWriter) path(node int) string {
	return filepath.Join(w.dir, fmt.Sprintf("servers%d.%s", node, w.fleet.scenario.Inventory.Form))
}

// content is a node's file for the current list. A column that changes with each rewrite makes every file a new
// revision.
func (w *InventoryWriter) content(node int) []byte {
	var out []inventory.Server
	for _, m := range w.fleet.members(node) {
		if w.fleet.coapAt(m.HostPort, node) {
			m.HostPort = inventory.SchemeCoAP + m.HostPort
		}
		s := inventory.Server{ID: m.ID, Address: m.HostPort, Zone: m.Locality, Pod: fmt.Sprintf("pod-%03d", m.Cell), Size: m.Size,
			Phase: inventory.Serving, Extra: map[string]string{"rewrite": fmt.Sprint(w.rng.IntN(1 << 30))}}
		if m.Phase != phaseServing {
			s.Phase = inventory.Draining
		}
		out = append(out, s)
	}
	if w.fleet.scenario.Inventory.Form == "yaml" {
		return inventory.WriteYAML(out)
	}
	return inventory.WriteCSV(out)
}

// coapAt reports whether the server at an address speaks CoAP.
func (f *Fleet) coapAt(hostPort string, node int) bool {
	for i, srv := range f.servers {
		if f.speaksCoap(i) && srv.member(node).HostPort == hostPort {
			return true
		}
	}
	return false
}

// Run rewrites the files until the context ends.
func (w *InventoryWriter) Run(ctx context.Context) error {
	tick := time.NewTicker(w.fleet.scenario.Inventory.Every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		for node := range w.withdrawn {
			if err := w.rewrite(node); err != nil {
				return err
			}
		}
	}
}

// rewrite puts one file in place: whole by a rename, whole but slowly in place, or corrupted.
func (w *InventoryWriter) rewrite(node int) error {
	good := w.content(node)
	listed := w.fleet.members(node)
	x := w.rng.Float64()
	switch i := w.fleet.scenario.Inventory; {
	case x < i.Bad:
		w.BadFiles++
		return replace(w.path(node), w.corrupt(good))
	case x < i.Bad+i.InPlace:
		if err := inPlace(w.path(node), good); err != nil {
			return err
		}
	default:
		if err := replace(w.path(node), good); err != nil {
			return err
		}
	}
	w.GoodFiles++
	w.recordUpdates(node, listed)
	return nil
}

// corrupt makes a bad file of a good one: cut off, empty, with a contradiction, or not a list at all.
func (w *InventoryWriter) corrupt(good []byte) []byte {
	switch w.rng.IntN(4) {
	case 0:
		return good[:w.rng.IntN(len(good))]
	case 1:
		return nil
	case 2:
		text := string(good)
		lines := strings.Split(text, "\n")
		contradiction := strings.Replace(lines[1], "pod-", "pod-9", 1) // the first server once more, in another pod
		return []byte(strings.Join(slices.Insert(lines, 2, contradiction), "\n"))
	}
	return []byte("\x00\xff<html>502 Bad Gateway</html>\n")
}

func replace(path string, data []byte) error {
	if err := os.WriteFile(path+".tmp", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".tmp", path)
}

func inPlace(path string, data []byte) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for len(data) > 0 && err == nil {
		n := min(chunk, len(data))
		_, err = f.Write(data[:n])
		data = data[n:]
		time.Sleep(chunkPause)
	}
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}

// recordUpdates records which servers a good file withdraws or puts back in service.
func (w *InventoryWriter) recordUpdates(node int, listed []Member) {
	at := w.fleet.at(time.Now()) + readDelay
	now := map[string]bool{}
	for _, m := range listed {
		if m.Phase != phaseServing {
			now[m.ID] = true
		}
	}
	for _, srv := range w.fleet.servers {
		m := srv.member(node)
		if m.Phase == phaseGone {
			now[m.ID] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range now {
		if !w.withdrawn[node][id] {
			w.updates = append(w.updates, audit.ListUpdate{Node: node, Server: id, Withdrawn: true, At: at})
		}
	}
	for id := range w.withdrawn[node] {
		if !now[id] {
			w.updates = append(w.updates, audit.ListUpdate{Node: node, Server: id, At: at - readDelay})
		}
	}
	w.withdrawn[node] = now
}

// ListUpdates are what the good files said of withdrawn servers.
func (w *InventoryWriter) ListUpdates() []audit.ListUpdate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]audit.ListUpdate(nil), w.updates...)
}
