// Command 2 plays devices that send bills over CoAP while their node is restarted as planned, and looks whether any bill runs twice.
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
	"sync"
	"time"

	"tackhub.example/review/coap"
	"tackhub.example/review/stand"
)

// The deployment: the class pay-bill of portal-main (MORE.md) with the longest deadline of the protocol page, 3 s, at a small size.
const settings = `{"classes":[
 {"aim_ms":1200,"dedup_window_ms":2000,"effect":"single_shot","group":"all","hard_limit_ms":3000,"late_share":0,"name":"pay-bill","streamed":false,"worth":5}],
 "client_habits":{"marks_retry":true},"counted_by":"request","discovery":"automatic","fleet_size":2,"goal":{"whole":1},"me":0,
 "obligations":{"answer_slack_ms":5,"cold_from":0.3,"cold_ms":23000,"fall_ms":1500,"fall_multiple":4,"stop_sending_within_ms":500},
 "policy_limits":{"attempts_cap":5,"conn_idle_ms":60000,"connect_timeout_ms":250,"may_cancel":true,"probes":false,
  "retry_after":true,"max_retry_after_ms":2000,"second_copies":false},
 "report":{"how":"none","names":["queue"]},"tick_ms":1,"weights":"none","zone":"east","zones":["east"],
 "realms":[{"name":"flint-valley","quota_per_s":1000,"share":1}]}`

const (
	servers      = 16
	devices      = 8
	work         = 600 * time.Millisecond // pay-bill: 77 to 140 ms of work and 280 to 520 ms waiting for others
	ackTimeout   = 120 * time.Millisecond // of a device, to one and a half times that; docs/coap.md: 120 to 180 ms
	firstSend    = 190 * time.Millisecond // after the signal; the last bill 0.4 s after it, while new clients still come
	sendInterval = 30 * time.Millisecond
	keepListen   = 3500 * time.Millisecond
)

type play struct {
	record *stand.Record

	mu   sync.Mutex
	runs map[string]int // by bill: how often a server has run it
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
	tmp, err := os.MkdirTemp("", "review-2-")
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
	var nodes []*stand.Node
	var fronts []string
	for _, name := range []string{"n0", "n1"} {
		front := stand.FreeUDP()
		node, err := stand.StartNode(stand.NodeOptions{Root: root, Dir: tmp, Name: name, Discovery: discovery.Address, Members: members,
			Settings: settings, Edge: "[coap]\nlisten = \"" + front + "\"\n"})
		if err != nil {
			return stand.NoRun, err
		}
		defer node.Kill()
		nodes = append(nodes, node)
		fronts = append(fronts, front)
	}
	all, err := p.connectDevices(fronts)
	for _, d := range all {
		defer d.close()
	}
	if err != nil {
		return stand.NoRun, err
	}
	results := p.pay(all, nodes[0])
	if stand.Trouble() && !nodes[0].WaitExit(5*time.Second) {
		return stand.NoRun, fmt.Errorf("node n0 has not ended")
	}
	return p.judge(all, results), nil
}

// connectDevices opens the devices. Each has a fresh Echo value of either node, as after an earlier bill.
func (p *play) connectDevices(fronts []string) (all []*device, err error) {
	for i := range devices {
		d := &device{play: p, bill: fmt.Sprintf("bill-%02d", i)}
		all = append(all, d)
		for _, front := range fronts {
			if err := d.connect(front); err != nil {
				return all, err
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.runs) // the bills so far were the devices' first ones
	return all, nil
}

// pay tells the node to end, and lets the devices send their bills.
func (p *play) pay(all []*device, node *stand.Node) []result {
	if stand.Trouble() {
		p.record.Printf("SIGTERM to node n0")
		node.Terminate()
	}
	began := time.Now()
	var wait sync.WaitGroup
	results := make([]result, len(all))
	for i, d := range all {
		wait.Go(func() {
			time.Sleep(time.Until(began.Add(firstSend + time.Duration(i)*sendInterval)))
			results[i] = d.pay()
		})
	}
	wait.Wait()
	return results
}

// judge compares what the devices were told with what the servers ran.
func (p *play) judge(all []*device, results []result) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	answered, refused, twice, refusedThoughRun := 0, 0, 0, 0
	for i, d := range all {
		r := results[i]
		p.record.Printf("%s: answers of n0 %v, answers of n1 %v, run %d times", d.bill, r.first, r.second, p.runs[d.bill])
		if len(r.first) > 0 {
			answered++
		}
		if r.refused {
			refused++
		}
		if p.runs[d.bill] > 1 {
			twice++
		}
		if r.refused && len(r.second) == 0 && p.runs[d.bill] > 0 {
			refusedThoughRun++
		}
	}
	p.record.Result("bills: %d, answered by n0: %d, refused by n0: %d, run twice: %d, refused though run and not sent again: %d",
		len(all), answered, refused, twice, refusedThoughRun)
	switch {
	case twice > 0 || refusedThoughRun > 0:
		p.record.Result("rule broken: a bill was refused although it ran")
		return stand.Broken
	case answered < len(all)/2:
		p.record.Result("cannot run: too few bills were answered")
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
		bill, _ := io.ReadAll(request.Body)
		p.mu.Lock()
		p.runs[string(bill)]++
		p.mu.Unlock()
		p.record.Printf("server %s: runs %s", name, bill)
		time.Sleep(work)
		body := "paid " + string(bill)
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body); err != nil {
			return
		}
	}
}

// device is a CoAP client with one socket for each node.
type device struct {
	play      *play
	bill      string
	links     []net.Conn
	echoes    [][]byte
	messageID uint16
}

// result is what a device was told.
type result struct {
	first, second []string // codes of the answers, by node
	refused       bool     // the first answer of the first node was a refusal
}

func (d *device) close() {
	for _, c := range d.links {
		_ = c.Close()
	}
}

// connect opens a socket to a node and gets an Echo value of it.
func (d *device) connect(front string) error {
	c, err := net.Dial("udp", front)
	if err != nil {
		return err
	}
	d.messageID = uint16(rand.Uint32())
	d.links = append(d.links, c)
	d.echoes = append(d.echoes, nil)
	answers := d.send(len(d.links)-1, "first-"+d.bill, false)
	if len(answers) == 0 || answers[0].Code != coap.Unauthorized {
		return fmt.Errorf("%s: no Echo value from %s", d.bill, front)
	}
	echo, _ := answers[0].Get(coap.OptionEcho)
	d.echoes[len(d.links)-1] = echo
	return nil
}

// pay sends the bill to the first node, and after a refusal, which says that this is harmless, to the second one.
func (d *device) pay() result {
	var r result
	answers := d.send(0, d.bill, true)
	for _, a := range answers {
		r.first = append(r.first, codeName(a.Code))
	}
	if len(answers) == 0 || answers[0].Code != coap.Unavailable {
		return r
	}
	r.refused = true
	maxAge, _ := answers[0].Uint(coap.OptionMaxAge)
	d.play.record.Printf("%s: refused, to be sent again after %d s", d.bill, maxAge)
	time.Sleep(time.Duration(maxAge) * time.Second)
	for _, a := range d.send(1, d.bill, false) {
		r.second = append(r.second, codeName(a.Code))
	}
	return r
}

// send sends a request, and sends it again by RFC 7252 (4.2) until it is acknowledged or answered. It returns the answers; with
// listen it goes on listening for further ones behind the first.
func (d *device) send(node int, bill string, listen bool) (answers []coap.Message) {
	d.messageID++
	m := coap.Message{Type: coap.Con, Code: coap.Post, ID: d.messageID, Token: []byte{byte(d.messageID >> 8), byte(d.messageID), byte(node), 7},
		Payload: []byte(bill)}
	m.Add(coap.OptionPath, []byte("pay-bill"))
	m.Add(coap.OptionQuery, []byte("tenant=flint-valley"))
	m.Add(coap.OptionQuery, []byte("wait=3000"))
	if echo := d.echoes[node]; len(echo) > 0 {
		m.Add(coap.OptionEcho, echo)
	}
	c := d.links[node]
	timeout := time.Duration(float64(ackTimeout) * (1 + rand.Float64()/2))
	end := time.Now().Add(keepListen)
	acknowledged := false
	buffer := make([]byte, 2048)
	for sent := 0; ; {
		now := time.Now()
		if now.After(end) {
			return answers
		}
		next := end
		if !acknowledged && len(answers) == 0 && sent < 5 {
			d.play.record.Printf("%s: to n%d, message %d, copy %d", bill, node, m.ID, sent)
			_, _ = c.Write(m.Encode())
			sent++
			next = now.Add(timeout)
			timeout *= 2
		}
		for time.Now().Before(next) {
			_ = c.SetReadDeadline(next)
			n, err := c.Read(buffer)
			if err != nil {
				if netErr, ok := err.(net.Error); !ok || !netErr.Timeout() {
					time.Sleep(5 * time.Millisecond) // nobody listens any more
				}
				continue
			}
			in, err := coap.Decode(buffer[:n])
			switch {
			case err != nil:
			case in.Code == coap.Empty && in.Type == coap.Ack && in.ID == m.ID:
				acknowledged = true
				next = end
			case in.Code != coap.Empty && bytes.Equal(in.Token, m.Token):
				d.play.record.Printf("%s: n%d answers %s %q", bill, node, codeName(in.Code), in.Payload)
				if in.Type == coap.Con {
					_, _ = c.Write((&coap.Message{Type: coap.Ack, ID: in.ID}).Encode())
				}
				answers = append(answers, in)
				if !listen || in.Code != coap.Unavailable {
					return answers
				}
				if len(answers) == 1 { // the device acts on the first answer; what comes within a second is only recorded
					end = time.Now().Add(time.Second)
					next = end
				}
			}
		}
	}
}

func codeName(code int) string { return fmt.Sprintf("%d.%02d", code>>5, code&31) }
