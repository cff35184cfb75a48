package upstream

import (
	"bytes"
	"slices"
	"strconv"

	"tackhub.example/tackhub/balancer"
)

// headerLoad carries a load report.
const headerLoad = "X-Load"

// maxLoadValue is the largest figure in a load report that is believed.
const maxLoadValue = 1e9

var (
	// inFlightNames are the names under which servers report their requests in flight. The settings speak of "concurrent";
	// the servers' own format says "inflight".
	inFlightNames = [][]byte{[]byte("inflight"), []byte("concurrent")}

	// queueNames are those of the length of their queue, "depth" in the settings.
	queueNames = [][]byte{[]byte("queue"), []byte("depth")}
)

// ParseLoad parses a load report that came by another protocol. The zero value stands for a report without a known figure.
func (p *Pool) ParseLoad(report []byte) balancer.LoadReport { return p.parseLoad(report, false) }

// parseLoad parses a load report: an optional word for the format, then name=value pairs between commas. A report without a
// known figure is counted; so is a missing one where a report is expected, as in a probe's response.
func (p *Pool) parseLoad(report []byte, expected bool) balancer.LoadReport {
	if !p.options.LoadReports || len(report) == 0 && !expected {
		return balancer.LoadReport{}
	}
	inFlight, ok := loadValue(report, inFlightNames)
	if !ok {
		p.options.Counters.Reports.Unknown.Inc()
		return balancer.LoadReport{}
	}
	p.options.Counters.Reports.Read.Inc()
	load := balancer.LoadReport{Valid: true, InFlight: inFlight}
	if p.options.QueueReports {
		load.Queued, load.QueueKnown = loadValue(report, queueNames)
	}
	return load
}

// loadValue finds the first value under one of the names. It reports false where there is none, or none that is a valid
// figure.
func loadValue(report []byte, names [][]byte) (float64, bool) {
	report = bytes.TrimSpace(report)
	if word, rest, found := bytes.Cut(report, []byte(" ")); found && !bytes.ContainsRune(word, '=') {
		report = rest
	}
	for pair := range bytes.SplitSeq(report, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		name = bytes.TrimSpace(name)
		if !slices.ContainsFunc(names, func(n []byte) bool { return bytes.EqualFold(n, name) }) {
			continue
		}
		n, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
		return n, err == nil && n >= 0 && n < maxLoadValue
	}
	return 0, false
}
