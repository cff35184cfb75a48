// Package settings reads the operators' settings object, which is the same in a node's
// configuration file and on the simulator's wire, into the balancer's settings.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"tackhub.example/tackhub/balancer"
)

// Settings are the balancer's settings, and what whoever carries its decisions out needs besides.
type Settings struct {
	Balancer balancer.Settings

	// InFlightIndex and QueuedIndex are the places of the requests in flight, and of those of them
	// that are queued, in a load report; -1 where there are none.
	InFlightIndex int
	QueuedIndex   int
	ReportFields  []string // the names of a report's figures, in order

	ServerIdleTimeout balancer.Millis // servers close a connection that has been idle for so long; 0: never
	ResponseSlack     balancer.Millis // how late after the client's deadline a final answer still counts

	// Digest is equal for equal settings, in every version of the program.
	Digest string
}

// Parse reads the settings object. Its error names every key that a rule needs and that is missing
// or unknown, and every value that can't be; All gives them one by one.
func Parse(raw json.RawMessage) (Settings, error) {
	var o options
	if err := json.Unmarshal(raw, &o); err != nil {
		return Settings{}, fmt.Errorf("options: %w", err)
	}
	if wrong := slices.Concat(checkRequired(&o), checkClasses(&o), checkRanges(&o)); len(wrong) > 0 {
		return Settings{}, wrong
	}
	set := Settings{
		Balancer:          balancerSettings(&o),
		ReportFields:      o.Report.Names,
		ServerIdleTimeout: o.Limits.IdleMs,
		ResponseSlack:     o.Rules.AnswerSlackMs,
	}
	set.InFlightIndex, set.QueuedIndex = reportIndexes(&o)
	set.Balancer.LoadReports = set.InFlightIndex >= 0
	set.Balancer.ReportsFromProbesOnly = o.Report.How == "probe"
	set.Digest = digest(&o, set)
	return set, nil
}

// reportIndexes are the places of the requests in flight and of the queued ones in a load report;
// -1 where there are none.
func reportIndexes(o *options) (inFlight, queued int) {
	probesForbidden := o.Report.How == "probe" && !o.Limits.Probes
	if o.Report.How == "none" || probesForbidden {
		return -1, -1
	}
	return slices.Index(o.Report.Names, "concurrent"), slices.Index(o.Report.Names, "depth")
}
