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
	// nodeReadDelay is how long after the writing of a valid file the lab assumes that the node has read it. It covers the
	// node's poll interval and settle time.
	nodeReadDelay = 400 * time.Millisecond

	// chunkBytes and chunkPause set the rate at which a file is written in place: one chunk, then one pause.
	chunkBytes = 4096
	chunkPause = time.Millisecond
)

// InventoryWriter rewrites each node's inventory file as a configuration tool would, with valid and invalid contents.
type InventoryWriter struct {
	fleet *Fleet
	dir   string
	rng   *rand.Rand

	mu           sync.Mutex
	updates      []audit.ListUpdate
	withdrawn    []map[string]bool // by node: servers that the last valid file leaves out or lists as draining
	ValidFiles   int               // valid files written
	InvalidFiles int
}

// NewInventoryWriter writes a valid inventory file and an operator file for each node.
func NewInventoryWriter(f *Fleet, dir string) (*InventoryWriter, error) {
	w := &InventoryWriter{fleet: f, dir: dir, rng: rand.New(rand.NewPCG(f.scenario.Seed, 77))}
	for node := range f.scenario.Nodes.Count {
		w.withdrawn = append(w.withdrawn, map[string]bool{})
		if err := os.WriteFile(w.path(node), w.content(node), 0o600); err != nil {
			return nil, err
		}
		operatorFile := fmt.Sprintf("[inventory]\ndiscovery = false\npoll = \"200ms\"\nsettle = \"100ms\"\nremove_share = 0.5\n\n"+
			"[[inventory.file]]\npath = %q\nname = \"tools\"\ntrailer = true\n", w.path(node))
		if err := os.WriteFile(OperatorFilePath(dir, node), []byte(operatorFile), 0o600); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// OperatorFilePath returns the path of a node's operator file in a directory.
func OperatorFilePath(dir string, node int) string {
	return filepath.Join(dir, fmt.Sprintf("edge%d.toml", node))
}

func (w *InventoryWriter) path(node int) string {
	return filepath.Join(w.dir, fmt.Sprintf("servers%d.%s", node, w.fleet.scenario.Inventory.Format))
}

// content returns the contents of a node's inventory file for the current server list. An extra column with a random value
// makes every rewrite a new revision.
func (w *InventoryWriter) content(node int) []byte {
	var out []inventory.Server
	for _, m := range w.fleet.members(node) {
		if w.fleet.coapAt(m.HostPort, node) {
			m.HostPort = inventory.SchemeCoAP + m.HostPort
		}
		entry := inventory.Server{ID: m.ID, Address: m.HostPort, Zone: m.Locality, Pod: fmt.Sprintf("pod-%03d", m.Cell), Size: m.Size,
			Phase: inventory.Serving, Extra: map[string]string{"rewrite": fmt.Sprint(w.rng.IntN(1 << 30))}}
		if m.Phase != phaseServing {
			entry.Phase = inventory.Draining
		}
		out = append(out, entry)
	}
	if w.fleet.scenario.Inventory.Format == "yaml" {
		return inventory.WriteYAML(out)
	}
	return inventory.WriteCSV(out)
}

// coapAt reports whether the server at an address uses CoAP.
func (f *Fleet) coapAt(hostPort string, node int) bool {
	for i, srv := range f.servers {
		if f.usesCoap(i) && srv.member(node).HostPort == hostPort {
			return true
		}
	}
	return false
}

// Run rewrites all files at the scenario's interval until the context is cancelled.
func (w *InventoryWriter) Run(ctx context.Context) error {
	tick := time.NewTicker(w.fleet.scenario.Inventory.RewriteInterval)
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

// rewrite replaces the file of one node: with valid contents by a rename, with valid contents written slowly in place, or
// with corrupted contents.
func (w *InventoryWriter) rewrite(node int) error {
	valid := w.content(node)
	listed := w.fleet.members(node)
	draw := w.rng.Float64()
	switch cfg := w.fleet.scenario.Inventory; {
	case draw < cfg.InvalidFraction:
		w.InvalidFiles++
		return replaceFile(w.path(node), w.corrupt(valid))
	case draw < cfg.InvalidFraction+cfg.InPlaceFraction:
		if err := writeInPlace(w.path(node), valid); err != nil {
			return err
		}
	default:
		if err := replaceFile(w.path(node), valid); err != nil {
			return err
		}
	}
	w.ValidFiles++
	w.recordUpdates(node, listed)
	return nil
}

// corrupt turns valid contents into invalid ones: truncated, empty, contradictory, or not a server list at all.
func (w *InventoryWriter) corrupt(valid []byte) []byte {
	switch w.rng.IntN(4) {
	case 0:
		return valid[:w.rng.IntN(len(valid))]
	case 1:
		return nil
	case 2:
		text := string(valid)
		lines := strings.Split(text, "\n")
		contradiction := strings.Replace(lines[1], "pod-", "pod-9", 1) // repeats the first server in another pod
		return []byte(strings.Join(slices.Insert(lines, 2, contradiction), "\n"))
	}
	return []byte("\x00\xff<html>502 Bad Gateway</html>\n")
}

func replaceFile(path string, data []byte) error {
	if err := os.WriteFile(path+".tmp", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".tmp", path)
}

func writeInPlace(path string, data []byte) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for len(data) > 0 && err == nil {
		n := min(chunkBytes, len(data))
		_, err = f.Write(data[:n])
		data = data[n:]
		time.Sleep(chunkPause)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// recordUpdates records which servers a valid file withdraws or puts back in service. The recorded time of a withdrawal is
// the current time plus nodeReadDelay, which the node needs to read the file. That of a return to service is the current time.
func (w *InventoryWriter) recordUpdates(node int, listed []Member) {
	notifiedAt := w.fleet.offsetOf(time.Now()) + nodeReadDelay
	current := map[string]bool{}
	for _, m := range listed {
		if m.Phase != phaseServing {
			current[m.ID] = true
		}
	}
	for _, srv := range w.fleet.servers {
		m := srv.member(node)
		if m.Phase == phaseGone {
			current[m.ID] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range current {
		if !w.withdrawn[node][id] {
			w.updates = append(w.updates, audit.ListUpdate{Node: node, Server: id, Withdrawn: true, At: notifiedAt})
		}
	}
	for id := range w.withdrawn[node] {
		if !current[id] {
			w.updates = append(w.updates, audit.ListUpdate{Node: node, Server: id, At: notifiedAt - nodeReadDelay})
		}
	}
	w.withdrawn[node] = current
}

// ListUpdates returns the withdrawals and returns to service in the valid files.
func (w *InventoryWriter) ListUpdates() []audit.ListUpdate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]audit.ListUpdate(nil), w.updates...)
}
