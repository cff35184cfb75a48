// Case 8: the repeat of a keyed request goes to servers that have not seen its key, since a server whose pod has changed in the inventory goes
// on in its old pod while it waits for its turn to move.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"tackhub.example/review/kit2"
)

const (
	window  = 2 * time.Second
	playFor = 9 * time.Second // after the change of the inventory
	// settled is how long after the change of the file the node is given to read it: ten times the 100 ms of `settle`.
	settled = time.Second
)

// before and after are the pods of the servers in the inventory file.
var (
	before = []string{"p1", "p1", "p1", "p1", "p1", "p2", "p2", "p2"}
	after  = []string{"p1", "p1", "p2", "p2", "p2", "p2", "p2", "p2"}
)

// pod is what the servers of one pod share: which keys they have seen.
type pod struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// effect is an effect of a keyed request.
type effect struct {
	at     time.Time
	server string
	pod    string
}

type play struct {
	record  *kit2.Record
	mu      sync.Mutex
	pods    map[string]*pod
	podOf   []string // of each server, as the inventory file says now
	effects map[string][]effect
	repeats int
}

func main() {
	record := kit2.NewRecord()
	p := &play{record: record, pods: map[string]*pod{"p1": {seen: map[string]time.Time{}}, "p2": {seen: map[string]time.Time{}}}, podOf: before,
		effects: map[string][]effect{}}
	var addresses []string
	for i := range before {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			kit2.CannotRun("%v", err)
		}
		go p.accept(l, i)
		addresses = append(addresses, l.Addr().String())
	}
	file := filepath.Join(os.Getenv("WORK"), "servers.csv")
	write(file, addresses, before)
	edge := filepath.Join(os.Getenv("WORK"), "edge.toml")
	text := fmt.Sprintf("[inventory]\ndiscovery = false\n[[inventory.file]]\npath = %q\nname = \"tools\"\ntrailer = true\n", file)
	if err := os.WriteFile(edge, []byte(text), 0o600); err != nil {
		kit2.CannotRun("%v", err)
	}
	node := kit2.StartNode([]kit2.Class{
		{Name: "get-cover", Effect: "free", Group: "all", Aim: 1000, Hard: 2000, Worth: 3},
		{Name: "put-cover", Effect: "guarded", Group: "cell", Aim: 1000, Hard: 2000, Window: float64(window.Milliseconds()), Worth: 5},
	}, kit2.StartDiscovery(nil), " --edge "+edge, nil)
	time.Sleep(1500 * time.Millisecond)
	changed := time.Now()
	if kit2.Trouble() {
		write(file, addresses, after)
		p.mu.Lock()
		p.podOf = after
		changed = time.Now()
		p.mu.Unlock()
		record.Add("trouble the inventory file moves s2, s3 and s4 from p1 to p2")
	}
	var clients sync.WaitGroup
	for i := range 16 { // every fourth sends keyed requests
		clients.Go(func() { p.client(node.Addr, i, i%4 == 0, changed.Add(playFor)) })
	}
	clients.Wait()
	p.judge(changed)
}

// write writes the inventory file with these pods, under another name first.
func write(file string, addresses, pods []string) {
	var text strings.Builder
	_, _ = fmt.Fprintln(&text, "id,address,zone,pod,size,phase")
	for i, a := range addresses {
		_, _ = fmt.Fprintf(&text, "s%d,%s,a,%s,1,serving\n", i, a, pods[i])
	}
	_, _ = fmt.Fprintf(&text, "# end %d\n", len(addresses))
	if err := os.WriteFile(file+".new", []byte(text.String()), 0o600); err != nil {
		kit2.CannotRun("%v", err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		kit2.CannotRun("%v", err)
	}
}

// judge counts the keys that had their effect more than once, the first time after the node has had time to read the file.
func (p *play) judge(changed time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	twice := 0
	for key, list := range p.effects {
		if len(list) > 1 && list[0].at.After(changed.Add(settled)) {
			twice++
			p.record.Add("broken  %s had its effect at %s (%s), %.1f s after the change, and at %s (%s)", key, list[0].server, list[0].pod,
				list[0].at.Sub(changed).Seconds(), list[1].server, list[1].pod)
		}
	}
	if p.repeats < 10 {
		kit2.CannotRun("the node has repeated only %d requests", p.repeats)
	}
	kit2.Finish(p.record, twice, fmt.Sprintf("%d of %d keyed requests had their effect twice, in two pods, more than %v after the file had changed (%d were repeated)",
		twice, len(p.effects), settled, p.repeats))
}

// client sends keyed requests, or reads.
func (p *play) client(addr string, number int, keyed bool, end time.Time) {
	for n := 0; time.Now().Before(end); {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		for time.Now().Before(end) {
			n++
			id := fmt.Sprintf("%08x%08x", number, n)
			_ = c.SetDeadline(time.Now().Add(4 * time.Second))
			if keyed {
				_, _ = fmt.Fprintf(c, "POST /put-cover/film HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: put-cover\r\nX-Tenant: t0\r\n"+
					"X-Deadline-Ms: 2000\r\nIdempotency-Key: k%s\r\nContent-Length: 2\r\n\r\nok", id, id)
			} else {
				_, _ = fmt.Fprintf(c, "GET /get-cover/film HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: get-cover\r\nX-Tenant: t0\r\n"+
					"X-Deadline-Ms: 2000\r\n\r\n", id)
			}
			h, _, err := kit2.ReadAnswer(r)
			if err != nil {
				break
			}
			if keyed {
				p.record.Add("client  k%s status=%d", id, h.Status())
			}
			time.Sleep(60 * time.Millisecond)
		}
		_ = c.Close()
	}
}

func (p *play) accept(l net.Listener, server int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for {
				h, err := kit2.ReadHead(r)
				if err != nil {
					return
				}
				if _, err := io.CopyN(io.Discard, r, int64(h.Length())); err != nil {
					return
				}
				if key := h.Header.Get("Idempotency-Key"); key != "" && !p.run(c.(*net.TCPConn), server, key) {
					return
				}
				time.Sleep(20 * time.Millisecond)
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"); err != nil {
					return
				}
			}
		}()
	}
}

// run runs a keyed request. It returns false if the connection was reset under it, as happens to the first attempt of every other one.
func (p *play) run(c *net.TCPConn, server int, key string) bool {
	now := time.Now()
	p.mu.Lock()
	name := p.podOf[server]
	shared := p.pods[name]
	at, seen := shared.seen[key]
	dropped := seen && now.Sub(at) < window
	first := len(p.effects[key]) == 0
	if !first {
		p.repeats++
	}
	if !dropped {
		shared.seen[key] = now
		p.effects[key] = append(p.effects[key], effect{now, fmt.Sprintf("s%d", server), name})
	}
	number := len(p.effects)
	p.mu.Unlock()
	p.record.Add("server  s%d in %s: %s, first=%v, dropped as a repeat=%v", server, name, key, first, dropped)
	if !first || number%2 != 0 {
		return true
	}
	time.Sleep(20 * time.Millisecond)
	p.record.Add("reset   s%d under %s", server, key)
	_ = c.SetLinger(0)
	return false
}
