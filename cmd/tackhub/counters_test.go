package main

import (
	"encoding/json"
	"io"
	"strings"
	"syscall"
	"testing"
)

// counts returns the node's counters, which it reads on a new connection.
func (p *nodeProcess) counts() counts {
	p.t.Helper()
	c := p.connect()
	defer func() { _ = c.Close() }()
	got, ok := p.countsOn(c)
	if !ok {
		p.t.Fatal("cannot read the node's counters")
	}
	return got
}

// countsOn reads the node's counters on an open connection. It reports whether that succeeded.
func (p *nodeProcess) countsOn(c *client) (got counts, ok bool) {
	if _, err := io.WriteString(c, "GET /_counters HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return got, false
	}
	resp, err := c.read()
	if err != nil {
		return got, false
	}
	err = json.Unmarshal([]byte(resp.body), &got)
	return got, err == nil
}

// counts holds the counters of a node that the tests read.
type counts struct {
	Requests   map[string]int `json:"requests"`
	Attempts   map[string]int `json:"attempts"`
	Outcomes   map[string]int `json:"outcomes"`
	Rejections map[string]int `json:"rejections"`
	Registry   map[string]int `json:"registry"`
	GivenUp    map[string]int `json:"given_up"`
	Reports    map[string]int `json:"reports"`
	Probes     map[string]int `json:"probes"`
	Clients    map[string]int `json:"client_connections"`
	ClientEnds map[string]int `json:"client_connection_ends"`
	Servers    map[string]int `json:"server_connections"`
	ServerEnds map[string]int `json:"server_connection_ends"`
	List       map[string]int `json:"list"`
	Inventory  map[string]int `json:"inventory"`
	Log        map[string]int `json:"log_lines"`
	Bodies     map[string]int `json:"large_bodies"`
	Shadow     struct {
		Steps  int            `json:"steps"`
		Differ map[string]int `json:"differ"`
	} `json:"watch"`
	Gossip  struct{ Sent, Taken int } `json:"peers"`
	Cluster struct {
		Drops map[string]int `json:"drops"`
	} `json:"cluster"`
}

// checkRequestTotals checks that each received request is counted with exactly one outcome or as open.
func (c counts) checkRequestTotals(t *testing.T) {
	t.Helper()
	r := c.Requests
	if sum := r["served"] + r["refused"] + r["failed"] + r["rejected"] + r["left"] + r["open"]; sum != r["taken"] {
		t.Errorf("taken = %d, want %d as the sum of outcomes and open requests: %v", r["taken"], sum, r)
	}
}

// An operator wants to know why servers are ejected or not. On SIGUSR1 the node must log the ejection state of each server with
// its reason.
func TestServerHealthIsLoggedOnSIGUSR1(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "done")), startBackend(t, "s2", resetConn)
	p, _ := startWithBackends(t, "", s1, s2)
	eventually(t, "the ejection of s2", func() bool {
		p.mustDo(request("look", 1400))
		return strings.Contains(p.log.String(), "ejected s2")
	})
	if err := p.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"server":"s2","ejection":"ejected","failures_in_a_row":3`, `"server":"s1","ejection":"no failures"`} {
		eventually(t, want, func() bool { return strings.Contains(p.log.String(), want) })
	}
}

// The node must log its counters on SIGUSR1 and when it exits.
func TestCountersAreLoggedOnSIGUSR1AndAtExit(t *testing.T) {
	p := startNode(t, nodeOptions{discovery: freeAddress(t)})
	logLines := func() int { return strings.Count(p.log.String(), `"code":"counters"`) }
	if err := p.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the counters in the log after SIGUSR1", func() bool { return logLines() == 1 })
	p.terminate()
	if code := p.exit(); code != 0 || logLines() != 2 {
		t.Errorf("exit code %d, counters logged %d times, want 0 and 2", code, logLines())
	}
}
