package backend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/lab/audit"
)

const (
	// readWithin is how long after a good file is in place a node counts as told: its settle time and its poll.
	readWithin = 400 * time.Millisecond

	// chunk and chunkPause are the pace of a tool that writes a file in place.
	chunk      = 4096
	chunkPause = time.Millisecond
)

// Writer keeps each node's file of servers as a configuration tool would, well and badly.
type Writer struct {
	f   *Fleet
	dir string
	rng *rand.Rand

	mu     sync.Mutex
	told   []audit.Told
	closed []map[string]bool // by node: what the last good file took away or drains
	Good   int               // files put in place whole
	Bad    int
}

// NewWriter writes the first, good files and an operator file for each node.
func NewWriter(f *Fleet, dir string) (*Writer, error) {
	w := &Writer{f: f, dir: dir, rng: rand.New(rand.NewPCG(f.s.Seed, 77))}
	for node := range f.s.Nodes.Count {
		w.closed = append(w.closed, map[string]bool{})
		if err := os.WriteFile(w.path(node), w.content(node), 0o600); err != nil {
			return nil, err
		}
		edge := fmt.Sprintf("[inventory]\ndiscovery = false\npoll = \"200ms\"\nsettle = \"100ms\"\nremove_share = 0.5\n\n"+
			"[[inventory.file]]\npath = %q\nname = \"tools\"\ntrailer = true\n", w.path(node))
		if err := os.WriteFile(EdgePath(dir, node), []byte(edge), 0o600); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// EdgePath is a node's operator file in a folder.
func EdgePath(dir string, node int) string {
	return filepath.Join(dir, fmt.Sprintf("edge%d.toml", node))
}

func (w *Writer) path(node int) string {
	return filepath.Join(w.dir, fmt.Sprintf("servers%d.%s", node, w.f.s.Inventory.Form))
}

// content is what is so now, as a node is to see it. A column that changes with each rewrite makes every file another one.
func (w *Writer) content(node int) []byte {
	var out []inventory.Server
	for _, m := range w.f.members(node) {
		if w.f.coapAt(m.HostPort, node) {
			m.HostPort = inventory.SchemeCoAP + m.HostPort
		}
		s := inventory.Server{ID: m.ID, Address: m.HostPort, Zone: m.Locality, Pod: fmt.Sprintf("pod-%03d", m.Cell), Size: m.Size,
			Phase: inventory.Serving, Extra: map[string]string{"rewrite": fmt.Sprint(w.rng.IntN(1 << 30))}}
		if m.Phase != phaseServing {
			s.Phase = inventory.Draining
		}
		out = append(out, s)
	}
	if w.f.s.Inventory.Form == "yaml" {
		return inventory.WriteYAML(out)
	}
	return inventory.WriteCSV(out)
}

// coapAt tells whether the server at an address speaks CoAP.
func (f *Fleet) coapAt(hostPort string, node int) bool {
	for i, srv := range f.servers {
		if f.speaksCoap(i) && srv.member(node).HostPort == hostPort {
			return true
		}
	}
	return false
}

// Run rewrites the files until the context ends.
func (w *Writer) Run(ctx context.Context) error {
	tick := time.NewTicker(w.f.s.Inventory.Every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		for node := range w.closed {
			if err := w.rewrite(node); err != nil {
				return err
			}
		}
	}
}

// rewrite puts one file in place: whole by a rename, whole but slowly in place, or bad.
func (w *Writer) rewrite(node int) error {
	good := w.content(node)
	listed := w.f.members(node)
	x := w.rng.Float64()
	switch i := w.f.s.Inventory; {
	case x < i.Bad:
		w.Bad++
		return replace(w.path(node), w.spoil(good))
	case x < i.Bad+i.Saving:
		if err := inPlace(w.path(node), good); err != nil {
			return err
		}
	default:
		if err := replace(w.path(node), good); err != nil {
			return err
		}
	}
	w.Good++
	w.note(node, listed)
	return nil
}

// spoil makes a bad file of a good one.
func (w *Writer) spoil(good []byte) []byte {
	switch w.rng.IntN(4) {
	case 0:
		return good[:w.rng.IntN(len(good))]
	case 1:
		return nil
	case 2:
		text := string(good)
		lines := strings.Split(text, "\n")
		return []byte(strings.Join(append(lines[:2:2], append([]string{strings.Replace(lines[1], "pod-", "pod-9", 1)}, lines[2:]...)...), "\n"))
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

// note keeps what a good file told of servers that were to get nothing more.
func (w *Writer) note(node int, listed []Member) {
	at := w.f.at(time.Now()) + readWithin
	now := map[string]bool{}
	for _, m := range listed {
		if m.Phase != phaseServing {
			now[m.ID] = true
		}
	}
	for _, srv := range w.f.servers {
		m := srv.member(node)
		if m.Phase == phaseGone {
			now[m.ID] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range now {
		if !w.closed[node][id] {
			w.told = append(w.told, audit.Told{Node: node, Server: id, Closed: true, At: at})
		}
	}
	for id := range w.closed[node] {
		if !now[id] {
			w.told = append(w.told, audit.Told{Node: node, Server: id, At: at - readWithin})
		}
	}
	w.closed[node] = now
}

// Told is what the files told of drains.
func (w *Writer) Told() []audit.Told {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]audit.Told(nil), w.told...)
}
