// Command 3 plays gateways that speak CoAP over a slow link and come to the node's limit for one device, and looks whether a
// purchase that was refused runs all the same.
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

// The deployment: two classes of prepaid-data (MORE.md), at a small size.
const settings = `{"classes":[
 {"aim_ms":600,"dedup_window_ms":2000,"effect":"free","group":"all","hard_limit_ms":2500,"late_share":0.2,"name":"usage-check","streamed":false,"worth":1},
 {"aim_ms":500,"dedup_window_ms":2000,"effect":"single_shot","group":"all","hard_limit_ms":1500,"late_share":0.2,"name":"topup-buy","streamed":false,"worth":8}],
 "client_habits":{"marks_retry":true},"counted_by":"request","discovery":"automatic","fleet_size":2,"goal":{"whole":1},"me":0,
 "obligations":{"answer_slack_ms":5,"cold_from":0.34,"cold_ms":8400,"fall_ms":3000,"fall_multiple":3,"stop_sending_within_ms":500},
 "policy_limits":{"attempts_cap":3,"conn_idle_ms":60000,"connect_timeout_ms":250,"may_cancel":true,"probes":false,
  "retry_after":false,"max_retry_after_ms":2000,"second_copies":false},
 "report":{"how":"none","names":["util"]},"tick_ms":1,"weights":"none","zone":"east","zones":["east"],
 "realms":[{"name":"acme","quota_per_s":1000,"share":1}]}`

const (
	servers    = 16
	gateways   = 5
	remembered = 63                     // purchases of a gateway before the one that is looked at; the node remembers 64 exchanges of a device
	linkDelay  = 150 * time.Millisecond // one way; GROWTH.md: 300 ms of added delay
	work       = 60 * time.Millisecond  // usage-check: 45 to 81 ms; topup-buy: 56 to 100 ms
	ackTimeout = 120 * time.Millisecond // of a device, to one and a half times that; docs/coap.md: 120 to 180 ms
)

type play struct {
	record *stand.Record

	mu   sync.Mutex
	runs map[string]int // by purchase: how often a server has run it
}

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(root, dir string) int {
	record, err := stand.NewRecord(dir)
	if err != nil {
		fmt.Println(err)
		return stand.NoRun
	}
	code, err := (&play{record: record, runs: map[string]int{}}).run(root)
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
	var members []stand.Member
	for i := range servers {
		address, err := p.startServer(ctx, fmt.Sprintf("s%d", i))
		if err != nil {
			return stand.NoRun, err
		}
		members = append(members, stand.Serving(fmt.Sprintf("s%d", i), address))
	}
	discovery, err := stand.StartDiscovery(members)
	if err != nil {
		return stand.NoRun, err
	}
	defer discovery.Close()
	var fronts []string
	for _, name := range []string{"n0", "n1"} {
		front := stand.FreeUDP()
		node, err := stand.StartNode(stand.NodeOptions{Root: root, Dir: tmp, Name: name, Discovery: discovery.Address, Members: members,
			Settings: settings, Edge: "[coap]\nlisten = \"" + front + "\"\n"})
		if err != nil {
			return stand.NoRun, err
		}
		defer node.Kill()
		fronts = append(fronts, front)
	}
	var wait sync.WaitGroup
	results := make([]result, gateways)
	errs := make([]error, gateways)
	for i := range gateways {
		wait.Go(func() { results[i], errs[i] = p.gateway(ctx, i, fronts) })
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return stand.NoRun, err
		}
	}
	return p.judge(results), nil
}

// judge compares what the gateways were told of their last purchase with what the servers ran.
func (p *play) judge(results []result) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	refused, twice := 0, 0
	for _, r := range results {
		p.record.Printf("%s: answers of n0 %v, answer of n1 %v, run %d times", r.purchase, r.first, r.second, p.runs[r.purchase])
		if r.refused {
			refused++
		}
		if p.runs[r.purchase] > 1 {
			twice++
		}
	}
	p.record.Result("purchases looked at: %d, refused by n0: %d, run twice: %d", len(results), refused, twice)
	switch {
	case twice > 0:
		p.record.Result("rule broken: a purchase that was refused ran, and ran again after it had been sent anew")
		return stand.Broken
	case refused == 0:
		p.record.Result("cannot run: no purchase was refused")
		return stand.NoRun
	}
	p.record.Result("rule held")
	return stand.Held
}

// startServer starts a server over HTTP that runs what it is sent.
func (p *play) startServer(ctx context.Context, name string) (string, error) {
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
			go p.serve(c, name)
		}
	}()
	return l.Addr().String(), nil
}

func (p *play) serve(c net.Conn, name string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		purchase, _ := io.ReadAll(request.Body)
		if len(purchase) > 0 {
			p.mu.Lock()
			p.runs[string(purchase)]++
			p.mu.Unlock()
		}
		p.record.Printf("server %s: runs %s %s", name, request.URL.Path, purchase)
		time.Sleep(work)
		body := "done " + string(purchase)
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body); err != nil {
			return
		}
	}
}

// result is what a gateway was told of the purchase that is looked at.
type result struct {
	purchase string
	first    []string // codes of the first node's answers
	second   string   // code of the second node's answer
	refused  bool     // the first of them was a refusal
}

// gateway buys until the node remembers 63 purchases of it, then checks its usage and buys once more right behind it.
func (p *play) gateway(ctx context.Context, number int, fronts []string) (result, error) {
	r := result{purchase: fmt.Sprintf("g%d-looked-at", number)}
	var links []*link
	for node, front := range fronts {
		l, err := p.connect(ctx, node, front)
		if err != nil {
			return r, err
		}
		defer l.close()
		links = append(links, l)
	}
	for done, tries := 0, 0; done < remembered; tries++ {
		if tries > 3*remembered {
			return r, fmt.Errorf("gateway %d: %d purchases were served, wanted %d", number, done, remembered)
		}
		answers := links[0].ask(fmt.Sprintf("g%d-%d", number, tries), 3*time.Second, 0)
		if len(answers) > 0 && answers[0].Code == coap.Changed {
			done++
		}
	}
	checked := make(chan struct{})
	go func() {
		links[0].ask("", 3*time.Second, 0)
		close(checked)
	}()
	time.Sleep(5 * time.Millisecond)
	answers := links[0].ask(r.purchase, 3*time.Second, 1500*time.Millisecond)
	<-checked
	for _, a := range answers {
		r.first = append(r.first, codeName(a.Code))
	}
	if len(answers) == 0 || answers[0].Code != coap.Unavailable {
		return r, nil
	}
	r.refused = true
	maxAge, _ := answers[0].Uint(coap.OptionMaxAge)
	time.Sleep(time.Duration(maxAge) * time.Second)
	if answers := links[1].ask(r.purchase, 3*time.Second, 0); len(answers) > 0 {
		r.second = codeName(answers[0].Code)
	}
	return r, nil
}

// link is a gateway's socket to one node.
type link struct {
	play *play
	node int
	conn net.Conn

	mu        sync.Mutex
	echo      []byte
	messageID uint16
	waiting   map[string]chan coap.Message // by token
	byID      map[uint16]chan coap.Message // the same, by message id
}

func (p *play) connect(ctx context.Context, node int, front string) (*link, error) {
	if stand.Trouble() {
		var err error
		if front, err = startSlowLink(ctx, front); err != nil {
			return nil, err
		}
	}
	c, err := net.Dial("udp", front)
	if err != nil {
		return nil, err
	}
	l := &link{play: p, node: node, conn: c, messageID: uint16(rand.Uint32()), waiting: map[string]chan coap.Message{},
		byID: map[uint16]chan coap.Message{}}
	go l.read()
	answers := l.ask("echo", 3*time.Second, 0)
	if len(answers) == 0 || answers[0].Code != coap.Unauthorized {
		return nil, fmt.Errorf("no Echo value from node %d", node)
	}
	l.mu.Lock()
	l.echo, _ = answers[0].Get(coap.OptionEcho)
	l.mu.Unlock()
	return l, nil
}

func (l *link) close() { _ = l.conn.Close() }

// read passes what comes to the requests that wait for it.
func (l *link) read() {
	buffer := make([]byte, 2048)
	for {
		n, err := l.conn.Read(buffer)
		if err != nil {
			return
		}
		m, err := coap.Decode(buffer[:n])
		if err != nil {
			continue
		}
		if m.Type == coap.Con {
			_, _ = l.conn.Write((&coap.Message{Type: coap.Ack, ID: m.ID}).Encode())
		}
		l.mu.Lock()
		to := l.waiting[string(m.Token)]
		if m.Code == coap.Empty {
			to = l.byID[m.ID]
		}
		l.mu.Unlock()
		if to != nil {
			to <- m
		}
	}
}

// ask sends a purchase, or without one a check of usage, and sends it again by RFC 7252 (4.2) until it is acknowledged or answered.
// It returns the answers: the first, and what else comes within a time behind it.
func (l *link) ask(purchase string, within, behind time.Duration) (answers []coap.Message) {
	l.mu.Lock()
	l.messageID++
	m := coap.Message{Type: coap.Con, Code: coap.Post, ID: l.messageID, Token: []byte{byte(l.messageID >> 8), byte(l.messageID), 9, 9},
		Payload: []byte(purchase)}
	class := "topup-buy"
	if purchase == "" {
		m.Code = coap.Get
		class = "usage-check"
	}
	m.Add(coap.OptionPath, []byte(class))
	m.Add(coap.OptionQuery, []byte("tenant=acme"))
	if len(l.echo) > 0 {
		m.Add(coap.OptionEcho, l.echo)
	}
	arrived := make(chan coap.Message, 16)
	l.waiting[string(m.Token)] = arrived
	l.byID[m.ID] = arrived
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiting, string(m.Token))
		delete(l.byID, m.ID)
	}()
	name := strings.TrimSpace(class + " " + purchase)
	timeout := time.Duration(float64(ackTimeout) * (1 + rand.Float64()/2))
	end := time.After(within)
	resend := time.After(0)
	for sent := 0; ; {
		select {
		case <-resend:
			if sent == 5 {
				continue
			}
			l.play.record.Printf("%s: to n%d, message %d, copy %d", name, l.node, m.ID, sent)
			_, _ = l.conn.Write(m.Encode())
			sent++
			resend = time.After(timeout)
			timeout *= 2
		case in := <-arrived:
			resend = nil
			if in.Code == coap.Empty || len(answers) > 0 && bytes.Equal(in.Encode(), answers[len(answers)-1].Encode()) {
				continue
			}
			l.play.record.Printf("%s: n%d answers %s %q", name, l.node, codeName(in.Code), in.Payload)
			answers = append(answers, in)
			if len(answers) == 1 {
				end = time.After(behind)
			}
		case <-end:
			return answers
		}
	}
}

// startSlowLink starts a relay of datagrams for one device that passes each on after a delay, in either direction.
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
	device := make(chan net.Addr, 1)
	go func() {
		known := false
		buffer := make([]byte, 2048)
		for {
			n, from, err := near.ReadFrom(buffer)
			if err != nil {
				return
			}
			if !known {
				known = true
				device <- from
			}
			data := bytes.Clone(buffer[:n])
			time.AfterFunc(linkDelay, func() { _, _ = far.Write(data) })
		}
	}()
	go func() {
		to := <-device
		buffer := make([]byte, 2048)
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

func codeName(code int) string { return fmt.Sprintf("%d.%02d", code>>5, code&31) }
