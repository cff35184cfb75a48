// Case 10: an upload is answered as served though its server has only the first block, since the node takes the answer to that block for
// the answer to the whole request.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"tackhub.example/review/kit2"
)

const (
	bodySize = 3000 // three blocks
	uploads  = 20
)

// store is what the servers of the pod hold, by the id of the request.
type store struct {
	mu     sync.Mutex
	record *kit2.Record
	covers map[string][]byte
}

func (s *store) answer(m kit2.Message) kit2.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := strings.Join(m.Values(kit2.OptRequestID), "")
	block, present := m.BlockOf(kit2.OptBlock1)
	offset := block.Num * block.Size()
	held := s.covers[id]
	s.covers[id] = append(held[:min(len(held), offset)], m.Payload...)
	s.record.Add("server  %s block %d of %d bytes, more=%v; holds %d bytes", id, block.Num, len(m.Payload), block.More, len(s.covers[id]))
	out := kit2.Message{Code: kit2.CodeChanged}
	if !present {
		return out
	}
	if kit2.Trouble() {
		// RFC 7959, 2.3: the block is enacted by itself, which the cleared M bit tells; the client goes on with the next block.
		block.More = false
	} else if block.More {
		out.Code = kit2.CodeContinue
	}
	out.Options = []kit2.Option{block.Option(kit2.OptBlock1)}
	return out
}

func main() {
	record := kit2.NewRecord()
	s := &store{record: record, covers: map[string][]byte{}}
	var addresses []string
	for range 3 {
		addresses = append(addresses, kit2.ServeCoap(5*time.Millisecond, s.answer))
	}
	node := kit2.StartNode([]kit2.Class{
		{Name: "put-cover", Effect: "guarded", Group: "cell", Aim: 160, Hard: 390, Window: 2000, Worth: 5},
	}, kit2.StartDiscovery(nil), kit2.OperatorFile(addresses), nil)
	time.Sleep(500 * time.Millisecond)
	served, cut := 0, 0
	for i := range uploads {
		id := fmt.Sprintf("%016x", i+1)
		body := bytes.Repeat([]byte{byte('a' + i)}, bodySize)
		status := ask(node.Addr, id, body)
		s.mu.Lock()
		held := s.covers[id]
		s.mu.Unlock()
		record.Add("client  %s upload of %d bytes: status=%d", id, bodySize, status)
		if status != 200 {
			continue
		}
		served++
		if !bytes.Equal(held, body) {
			cut++
			record.Add("broken  %s was answered 200; its servers hold %d of %d bytes", id, len(held), bodySize)
		}
	}
	if served < uploads/2 {
		kit2.CannotRun("only %d uploads were answered 200", served)
	}
	kit2.Finish(record, cut, fmt.Sprintf("%d of %d uploads that were answered 200 are cut short at the servers", cut, served))
}

func ask(addr, id string, body []byte) int {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /put-cover/film HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: put-cover\r\nX-Tenant: t0\r\n"+
		"X-Deadline-Ms: 390\r\nIdempotency-Key: k%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	h, _, err := kit2.ReadAnswer(bufio.NewReader(c))
	if err != nil {
		return 0
	}
	return h.Status()
}
