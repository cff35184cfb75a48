package upstream

import (
	"bytes"
	"slices"
	"strconv"

	"tackhub.example/tackhub/balancer"
)

// headerLoad is the response header with which servers report their load.
const headerLoad = "X-Load"

// maxLoadValue is the exclusive upper limit of a valid number in a load report.
const maxLoadValue = 1e9

var (
	// inFlightNames are the names under which servers report their number of requests in flight: "inflight" is the name in the
	// servers' own format, "concurrent" the name in the settings' list of reported values.
	inFlightNames = [][]byte{[]byte("inflight"), []byte("concurrent")}

	// queueNames are the names under which servers report the length of their queue: "queue" is the name in the servers' own
	// format, "depth" the name in the settings' list of reported values.
	queueNames = [][]byte{[]byte("queue"), []byte("depth")}
)

// ParseLoad parses a load report that was received over another protocol. It returns the zero value if the report contains no
// valid number of requests in flight.
func (p *Pool) ParseLoad(report []byte) balancer.LoadReport { return p.parseLoad(report, false) }

// parseLoad parses a load report: an optional format name, then name=value pairs separated by commas. It counts a report without
// a valid number of requests in flight as unknown, and also a missing report if one is expected, as in a probe's response.
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

// loadValue returns the value of the first pair that has one of the names. It reports false if no pair has such a name, or if the
// value is not a number in the range [0, maxLoadValue).
func loadValue(report []byte, names [][]byte) (float64, bool) {
	report = bytes.TrimSpace(report)
	if format, rest, found := bytes.Cut(report, []byte(" ")); found && !bytes.ContainsRune(format, '=') {
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
