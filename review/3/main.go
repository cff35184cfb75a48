// Command 3 plays a rack of servers over HTTP and CoAP that drops repeats of a keyed request for 1 s, resets connections under long
// requests, and looks whether any of them runs twice.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"tackhub.example/review/coap"
	"tackhub.example/review/stand"
)

// The deployment: the class install-log of field-activation (MORE.md), at a small size.
const settings = `{"classes":[
 {"aim_ms":1000,"dedup_window_ms":1000,"effect":"guarded","group":"cell","hard_limit_ms":2000,"late_share":0,"name":"install-log","streamed":false,"worth":3}],
 "client_habits":{"marks_retry":true},"counted_by":"request","discovery":"automatic","fleet_size":1,"goal":{"whole":1},"me":0,
 "obligations":{"answer_slack_ms":5,"cold_from":0.15,"cold_ms":22000,"fall_ms":1000,"fall_multiple":3,"stop_sending_within_ms":1000},
 "policy_limits":{"attempts_cap":6,"conn_idle_ms":60000,"connect_timeout_ms":250,"may_cancel":true,"probes":false,
  "retry_after":false,"max_retry_after_ms":2000,"second_copies":false},
 "report":{"how":"none","names":["util"]},"tick_ms":1,"weights":"none","zone":"east","zones":["east"],
 "realms":[{"name":"acme","quota_per_s":1000,"share":1}]}`

const (
	httpServers = 2
	coapServers = 3
	clients     = 4                      // the first sends long logs
	work        = 120 * time.Millisecond // install-log: 92 to 170 ms
	window      = time.Second            // for which the servers of one rack drop a repeat
	linkDelay   = 8 * time.Millisecond   // one way; MORE.md: 4.7 to 8.8 ms
	large       = 60 << 10               // bytes of a long log; PROTOCOL.md: 64 KiB at most
	resetShare  = 0.4                    // of the long requests at servers over HTTP
	playFor     = 60 * time.Second
)

type play struct {
	record *stand.Record

	mu       sync.Mutex
	ranAt    map[string]time.Time // by key: when the pod ran it first
	runs     map[string]int       // by key
	resetFor map[string]bool      // keys whose connection was reset after the run
}

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(root, dir string) int {
	record, err := stand.NewRecord(dir)
	if err != nil {
		fmt.Println(err)
		return stand.NoRun
	}
	code, err := (&play{record: record, ranAt: map[string]time.Time{}, runs: map[string]int{}, resetFor: map[string]bool{}}).run(root)
	if err != nil {
		record.Result("cannot run: %v", err)
	}
	return code
}

func (p *play) run(root string) (int, error) {
	tmp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return stand.NoRun, err
	}
	defer os.RemoveAll(tmp)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	edge := "[inventory]\ndiscovery = false\n"
	for i := range httpServers + coapServers {
		name := fmt.Sprintf("s%d", i)
		address, err := p.startHTTP(ctx, name)
		if err == nil && i < httpServers {
			address, err = stand.StartLink(ctx, address, linkDelay)
		}
		if i >= httpServers {
			if address, err = p.startCoAP(ctx, name); err == nil {
				address, err = startSlowLink(ctx, address)
			}
			address = "coap://" + address
		}
		if err != nil {
			return stand.NoRun, err
		}
		edge += fmt.Sprintf("[[inventory.static]]\nid = %q\naddress = %q\nzone = \"east\"\npod = \"rack-1\"\n", name, address)
	}
	discovery, err := stand.StartDiscovery([]stand.Member{})
	if err != nil {
		return stand.NoRun, err
	}
	defer discovery.Close()
	node, err := stand.StartNode(stand.NodeOptions{Root: root, Dir: tmp, Name: "n0", Discovery: discovery.Address, Members: []stand.Member{},
		Settings: settings, Edge: edge})
	if err != nil {
		return stand.NoRun, err
	}
	defer node.Kill()
	time.Sleep(3 * time.Second)
	return p.judge(p.send(node.Address))
}

// send lets the clients send requests, and returns the number of each kind of answer.
func (p *play) send(address string) map[string]int {
	until := time.Now().Add(playFor)
	var wait sync.WaitGroup
	var mu sync.Mutex
	codes := map[string]int{}
	for i := range clients {
		wait.Go(func() {
			size, kind := 100, "small"
			if i == 0 {
				size, kind = large, "large"
			}
			for n := 0; time.Now().Before(until); n++ {
				code := p.ask(address, fmt.Sprintf("account-%d-%d-%s", i, n, kind), size)
				mu.Lock()
				codes[kind+" "+strconv.Itoa(code)]++
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return codes
}

// judge looks for requests that the rack ran twice.
func (p *play) judge(codes map[string]int) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	twice := 0
	for key, n := range p.runs {
		if n > 1 {
			twice++
			p.record.Printf("%s ran %d times", key, n)
		}
	}
	p.record.Result("answers %v, keys run: %d, reset after the run: %d, keys run twice: %d", codes, len(p.runs), len(p.resetFor), twice)
	switch {
	case twice > 0:
		p.record.Result("rule broken: the node sent a request again after the time for which the rack remembers it, and it ran twice")
		return stand.Broken, nil
	case len(p.runs) < 100 || stand.Trouble() && len(p.resetFor) < 3:
		return stand.NoRun, fmt.Errorf("too little was run or reset")
	}
	p.record.Result("rule held")
	return stand.Held, nil
}

// ask sends one keyed request.
func (p *play) ask(address, key string, size int) int {
	body := strings.Repeat("x", size)
	request, _ := http.NewRequest("POST", "http://"+address+"/install-log", strings.NewReader(body))
	request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set("X-Class", "install-log")
	request.Header.Set("X-Tenant", "acme")
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.record.Printf("%s: %v", key, err)
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	p.record.Printf("%s: answer %d", key, response.StatusCode)
	return response.StatusCode
}

// execute runs a request, or drops it as a repeat, and reports whether the rack has run it for the first time.
func (p *play) execute(name, key string) (first bool) {
	p.mu.Lock()
	at, known := p.ranAt[key]
	if known && time.Since(at) < window {
		p.mu.Unlock()
		p.record.Printf("%s: drops the repeat of %s after %d ms", name, key, time.Since(at).Milliseconds())
		return false
	}
	if known {
		p.record.Printf("%s: %s comes again after %d ms, and is not remembered", name, key, time.Since(at).Milliseconds())
	}
	p.ranAt[key] = time.Now()
	p.runs[key]++
	p.mu.Unlock()
	p.record.Printf("%s: runs %s", name, key)
	time.Sleep(work)
	return !known
}

func (p *play) startHTTP(ctx context.Context, name string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serveHTTP(c, name)
		}
	}()
	return l.Addr().String(), nil
}

func (p *play) serveHTTP(c net.Conn, name string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		key := request.Header.Get("Idempotency-Key")
		first := p.execute(name, key)
		if first && stand.Trouble() && strings.HasSuffix(key, "large") && rand.Float64() < resetShare {
			p.mu.Lock()
			p.resetFor[key] = true
			p.mu.Unlock()
			p.record.Printf("%s: connection reset under %s", name, key)
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// coapServer is a server over CoAP that knows repeats of a message and takes uploads in blocks.
type coapServer struct {
	play    *play
	name    string
	conn    net.PacketConn
	uploads map[string]int // by request id: bytes so far

	mu      sync.Mutex
	answers map[uint16][]byte // by message id; nil while it is worked on
}

func (p *play) startCoAP(ctx context.Context, name string) (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = c.Close() })
	s := &coapServer{play: p, name: name, conn: c, uploads: map[string]int{}, answers: map[uint16][]byte{}}
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, from, err := c.ReadFrom(buffer)
			if err != nil {
				return
			}
			if m, err := coap.Decode(buffer[:n]); err == nil && m.Type == coap.Con {
				s.receive(m, from)
			}
		}
	}()
	return c.LocalAddr().String(), nil
}

// receive answers a ping or a repeat, or takes a new message.
func (s *coapServer) receive(m coap.Message, from net.Addr) {
	if m.Code == coap.Empty {
		_, _ = s.conn.WriteTo((&coap.Message{Type: coap.Rst, ID: m.ID}).Encode(), from)
		return
	}
	s.mu.Lock()
	stored, known := s.answers[m.ID]
	if !known {
		s.answers[m.ID] = nil
	}
	s.mu.Unlock()
	if !known {
		s.take(m, from)
	} else if stored != nil {
		_, _ = s.conn.WriteTo(stored, from)
	}
}

// take adds a block to its upload, and runs a request that is whole.
func (s *coapServer) take(m coap.Message, from net.Addr) {
	block, present := m.Uint(coap.OptionBlock1)
	reply := func(code int) {
		out := coap.Message{Type: coap.Ack, Code: code, ID: m.ID, Token: m.Token}
		if present {
			out.AddUint(coap.OptionBlock1, block)
		}
		s.mu.Lock()
		s.answers[m.ID] = out.Encode()
		s.mu.Unlock()
		_, _ = s.conn.WriteTo(out.Encode(), from)
	}
	if present {
		id, _ := m.Get(coap.OptionRequestID)
		if s.uploads[string(id)] != int(block>>4)<<(block&7+4) {
			reply(coap.Incomplete)
			return
		}
		s.uploads[string(id)] += len(m.Payload)
		if block&8 != 0 {
			reply(coap.Continue)
			return
		}
		delete(s.uploads, string(id))
	}
	key, _ := m.Get(coap.OptionKey)
	go func() {
		s.play.execute(s.name, string(key))
		reply(coap.Changed)
	}()
}

// startSlowLink starts a relay of datagrams for one peer that passes each on after a delay, in order, in either direction.
func startSlowLink(ctx context.Context, target string) (string, error) {
	near, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	far, err := net.Dial("udp", target)
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() {
		_ = near.Close()
		_ = far.Close()
	})
	peer := make(chan net.Addr, 1)
	go func() {
		known := false
		buffer := make([]byte, 4096)
		for {
			n, from, err := near.ReadFrom(buffer)
			if err != nil {
				return
			}
			if !known {
				known = true
				peer <- from
			}
			data := bytes.Clone(buffer[:n])
			time.AfterFunc(linkDelay, func() { _, _ = far.Write(data) })
		}
	}()
	go func() {
		to := <-peer
		buffer := make([]byte, 4096)
		for {
			n, err := far.Read(buffer)
			if err != nil {
				return
			}
			data := bytes.Clone(buffer[:n])
			time.AfterFunc(linkDelay, func() { _, _ = near.WriteTo(data, to) })
		}
	}()
	return near.LocalAddr().String(), nil
}
