// Package settings parses the operators' settings object into the balancer's settings. The object has
// the same form in a node's configuration file and on the simulator's wire.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"tackhub.example/tackhub/balancer"
)

// Settings are the balancer's settings and those of the code that executes its decisions.
type Settings struct {
	Balancer balancer.Settings

	// InFlightIndex and QueuedIndex are the indexes of two fields of a load report: the number of
	// requests in flight at the server, and how many of them are queued. -1: not reported.
	InFlightIndex int
	QueuedIndex   int
	ReportFields  []string // the names of a load report's fields, in order

	ServerIdleTimeout balancer.Millis // idle time after which servers close a connection; 0: never
	ResponseSlack     balancer.Millis // how long after the client's deadline a final response still counts

	// Digest is equal for equal settings in every version of the program.
	Digest string
}

// Parse parses and validates the settings object. Its error names every required key that is missing and
// every value that is unknown or out of range; Faults returns them as a list.
func Parse(raw json.RawMessage) (Settings, error) {
	var o options
	if err := json.Unmarshal(raw, &o); err != nil {
		return Settings{}, fmt.Errorf("options: %w", err)
	}
	if found := slices.Concat(checkRequired(&o), checkClasses(&o), checkRanges(&o)); len(found) > 0 {
		return Settings{}, found
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

// reportIndexes returns the indexes of two fields of a load report: the requests in flight and the queued
// requests. An index is -1 if the report does not contain the field. Both are -1 if no reports can
// arrive: there are none, or they arrive with load probes and the settings do not allow probes.
func reportIndexes(o *options) (inFlight, queued int) {
	probesForbidden := o.Report.How == "probe" && !o.Limits.Probes
	if o.Report.How == "none" || probesForbidden {
		return -1, -1
	}
	return slices.Index(o.Report.Names, "concurrent"), slices.Index(o.Report.Names, "depth")
}
