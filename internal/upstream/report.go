package upstream

import (
	"bytes"
	"slices"
	"strconv"

	"tackhub.example/tackhub/balancer"
)

const (
	loadHeader   = "X-Load"
	notRunHeader = "X-Not-Run"
)

// inFlightNames are the names under which a server may report the requests in its hands. The settings speak of
// "concurrent"; the servers' own format says "inflight".
var inFlightNames = [][]byte{[]byte("inflight"), []byte("concurrent")}

// waitingNames are those of the requests that wait, "depth" in the settings.
var waitingNames = [][]byte{[]byte("queue"), []byte("depth")}

// Load reads a report that came by another protocol.
func (p *Pool) ParseLoad(text []byte) balancer.LoadReport { return p.load(text, false) }

// load reads a report: an optional format word, then name=value pairs between commas. One that holds no figure
// we know is counted, and counts as none. An answer need not carry one; a probe's body should.
func (p *Pool) load(text []byte, expected bool) balancer.LoadReport {
	if !p.o.LoadReports || len(text) == 0 && !expected {
		return balancer.LoadReport{}
	}
	if n, ok := parseLoad(text); ok {
		p.o.Count.Reports.Read.Inc()
		load := balancer.LoadReport{Valid: true, InFlight: n}
		if p.o.QueueReports {
			load.Queued, load.QueueKnown = figure(text, waitingNames)
		}
		return load
	}
	p.o.Count.Reports.Unknown.Inc()
	return balancer.LoadReport{}
}

// parseLoad finds the requests in flight.
func parseLoad(text []byte) (float64, bool) { return figure(text, inFlightNames) }

// figure finds the first value that stands under one of the names.
func figure(text []byte, names [][]byte) (float64, bool) {
	text = bytes.TrimSpace(text)
	if word, rest, found := bytes.Cut(text, []byte(" ")); found && !bytes.ContainsRune(word, '=') {
		text = rest
	}
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		if !slices.ContainsFunc(names, func(n []byte) bool { return bytes.EqualFold(n, bytes.TrimSpace(name)) }) {
			continue
		}
		n, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
		return n, err == nil && n >= 0 && n < 1e9
	}
	return 0, false
}
