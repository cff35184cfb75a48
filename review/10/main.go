// Case 10: what a client sends to one object reaches another one, since the node decodes an encoded slash in the path and then cuts the path
// there, on its way to a CoAP server.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"
	"sync"
	"time"

	"tackhub.example/review/kit2"
)

const rounds = 12

// store is what the servers of the pod hold: covers by their path, a list of segments.
type store struct {
	mu     sync.Mutex
	record *kit2.Record
	covers map[string]string
}

// name is the key of a path in the store: its segments, each quoted.
func name(segments []string) string { return fmt.Sprintf("%q", segments) }

func (s *store) answer(m kit2.Message) kit2.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := m.Values(kit2.OptURIPath)
	object := name(path[1:])
	if m.Code == kit2.CodePost {
		s.covers[object] = string(m.Payload)
		s.record.Add("server  put-cover %s: %q", object, m.Payload)
		return kit2.Message{Code: kit2.CodeChanged}
	}
	cover, held := s.covers[object]
	s.record.Add("server  get-cover %s: held=%v %q", object, held, cover)
	if !held {
		return kit2.Message{Code: kit2.CodeNotFound}
	}
	return kit2.Message{Code: kit2.CodeContent, Payload: []byte(cover)}
}

func main() {
	record := kit2.NewRecord()
	s := &store{record: record, covers: map[string]string{}}
	var addresses []string
	for range 3 {
		addresses = append(addresses, kit2.ServeCoap(5*time.Millisecond, s.answer))
	}
	node := kit2.StartNode([]kit2.Class{
		{Name: "get-cover", Effect: "free", Group: "all", Aim: 160, Hard: 390, Worth: 3},
		{Name: "put-cover", Effect: "guarded", Group: "cell", Aim: 160, Hard: 390, Window: 2000, Worth: 5},
	}, kit2.StartDiscovery(nil), kit2.OperatorFile(addresses), nil)
	time.Sleep(500 * time.Millisecond)
	separator := "/" // in the name of a film
	if !kit2.Trouble() {
		separator = "-"
	}
	number := 0
	send := func(method, class string, segments []string, body string) (int, string) {
		number++
		escaped := make([]string, len(segments))
		for i, segment := range segments {
			escaped[i] = url.PathEscape(segment)
		}
		uri := "/" + class + "/" + strings.Join(escaped, "/")
		status, got := ask(node.Addr, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %016x\r\nX-Class: %s\r\nX-Tenant: t0\r\n"+
			"X-Deadline-Ms: 390\r\nIdempotency-Key: k%d\r\nContent-Length: %d\r\n\r\n%s", method, uri, number, class, number, len(body), body))
		record.Add("client  %s %s %q: status=%d %q", method, uri, body, status, got)
		return status, got
	}
	asked, foreign, overwritten := 0, 0, 0
	for i := range rounds {
		// Two objects of two partners: the film "nile" with its still "1", and the film "nile/1", whose name has a slash.
		first := []string{fmt.Sprintf("nile%d", i), "1"}
		second := []string{first[0] + separator + "1"}
		if status, _ := send("POST", "put-cover", first, "cover of the first partner"); status != 200 {
			continue
		}
		if status, _ := send("POST", "put-cover", second, "cover of the second partner"); status != 200 {
			continue
		}
		asked++
		s.mu.Lock()
		held := s.covers[name(first)]
		s.mu.Unlock()
		if held != "cover of the first partner" {
			overwritten++
			record.Add("broken  the server holds %q for %s, which only the first partner has written", held, name(first))
		}
		if status, got := send("GET", "get-cover", first, ""); status == 200 && got != "cover of the first partner" {
			foreign++
			record.Add("broken  the first partner got %q", got)
		}
	}
	if asked < rounds/2 {
		kit2.CannotRun("only %d rounds", asked)
	}
	kit2.Finish(record, overwritten+foreign, fmt.Sprintf("of %d covers %d were overwritten by a request to another object, and %d clients got the foreign cover",
		asked, overwritten, foreign))
}

// ask sends a request on a connection of its own.
func ask(addr, request string) (int, string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.WriteString(c, request)
	h, body, err := kit2.ReadAnswer(bufio.NewReader(c))
	if err != nil {
		return 0, ""
	}
	return h.Status(), string(body)
}
