package cluster

import (
	"slices"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/internal/overload"
)

const (
	// decisionInterval is the time between two admission decisions, and between two load reports while load is shed.
	decisionInterval = 250 * time.Millisecond

	// reportInterval is the time between two load reports while no load is shed. The first decision of an overload needs two reports
	// of every member.
	reportInterval = 750 * time.Millisecond

	// maxReportsBytes limits the size of all load reports in one message. The size of a report is estimated as baseReportBytes plus
	// reportBytesPerClass for each class.
	maxReportsBytes     = 900
	baseReportBytes     = 64
	reportBytesPerClass = 12
)

// overloadAgent connects the fleet's admission control to the core and the balancer. If overload control is off, the agent is nil and
// its methods do nothing. They must be called on the core's goroutine except where documented otherwise.
type overloadAgent struct {
	link              *link
	controller        *overload.Controller
	classes           []string // names, in the order of the controller's classes
	reportsPerMessage int
	nextDecision      time.Duration
	lastReport        time.Duration
	applied           overload.Admission // the admission last passed to the balancer
	activeSince       time.Duration      // start of the latest overload
}

// newOverloadAgent returns the agent, or nil if overload control is off.
func newOverloadAgent(l *link) *overloadAgent {
	if !l.options.Overload {
		return nil
	}
	o := &overloadAgent{link: l}
	var classes []overload.Class
	for _, c := range l.node.Classes() {
		o.classes = append(o.classes, c.Name)
		classes = append(classes, overload.Class{Name: c.Name, Priority: c.PriorityWeight})
	}
	o.reportsPerMessage = max(1, maxReportsBytes/(baseReportBytes+reportBytesPerClass*len(classes)))
	o.controller = overload.New(overload.Options{Name: l.name, Generation: l.core.Generation(), Classes: classes})
	return o
}

// stop removes the fleet's admission from the balancer, since it will not be updated any more. It may be called on any goroutine.
func (o *overloadAgent) stop() {
	if o != nil {
		o.link.node.ApplyEvent(balancer.FleetAdmission{}, false)
	}
}

// counts returns the counters of this node since its start.
func (o *overloadAgent) counts() overload.Counts {
	nodeCounters := o.link.node.Counters()
	out := overload.Counts{
		Shed:      uint64(nodeCounters.Rejected.Get("fleet_cut")),
		Successes: uint64(nodeCounters.Outcomes.Get("served")),
	}
	out.Attempts = max(out.Successes, uint64(nodeCounters.Attempts.Sent.Get()-nodeCounters.Attempts.Open.Get()))
	for _, name := range o.classes {
		class := nodeCounters.Operations.For(name)
		accepted := uint64(class.Fulfilled.Get() + class.Faulted.Get())
		out.Accepted = append(out.Accepted, accepted)
		out.Requested = append(out.Requested, accepted+uint64(class.Throttled.Get()))
	}
	return out
}

// receive merges the load reports of other members. It ignores reports with a different number of classes.
func (o *overloadAgent) receive(m *membership.Message) {
	if o == nil || m.Kind != membership.LoadReports {
		return
	}
	now := o.link.now()
	for _, r := range m.LoadReports {
		if r.Name != o.link.name && len(r.Counts) == 2*len(o.classes) {
			o.controller.Merge(now, o.summaryFromReport(r))
		}
	}
}

// summaryFromReport converts a received load report to a summary.
func (o *overloadAgent) summaryFromReport(r membership.LoadReport) overload.Summary {
	return overload.Summary{
		Name:       r.Name,
		Generation: r.Generation,
		CountedAt:  time.Duration(r.At) * time.Millisecond,
		Age:        time.Duration(r.Age) * time.Millisecond,
		Counts: overload.Counts{
			Shed:      r.Shed,
			Attempts:  r.Attempts,
			Successes: r.Successes,
			Requested: r.Counts[:len(o.classes)],
			Accepted:  r.Counts[len(o.classes):],
		},
	}
}

// reportFromSummary converts a summary to a load report to send.
func reportFromSummary(s overload.Summary) membership.LoadReport {
	return membership.LoadReport{
		Name:       s.Name,
		Generation: s.Generation,
		At:         uint64(s.CountedAt.Milliseconds()),
		Age:        uint32(s.Age.Milliseconds()),
		Shed:       s.Shed,
		Attempts:   s.Attempts,
		Successes:  s.Successes,
		Counts:     append(slices.Clone(s.Requested), s.Accepted...),
	}
}

// tick decides the admission and sends load reports, each when it is due.
func (o *overloadAgent) tick() {
	if o == nil {
		return
	}
	now := o.link.now()
	if now < o.nextDecision {
		return
	}
	o.nextDecision = now + decisionInterval
	o.controller.Observe(now, now, o.counts())
	admission := o.controller.Decide(now, o.link.core.View().Members)
	o.apply(admission, now)
	if admission.Active || now-o.lastReport >= reportInterval {
		o.lastReport = now
		o.sendReports(now)
	}
}

// apply passes the admission to the balancer if it limits requests, did so before, or has a different reduction of the retry budget.
func (o *overloadAgent) apply(next overload.Admission, now time.Duration) {
	if next.Active || o.applied.Active || next.RetryBudgetReduction != o.applied.RetryBudgetReduction {
		fractions := map[string]float64{}
		for i, name := range o.classes {
			if next.Active {
				fractions[name] = next.Fractions[i]
			}
		}
		o.link.node.ApplyEvent(balancer.FleetAdmission{AdmittedFraction: fractions, RetryReduction: next.RetryBudgetReduction}, false)
	}
	if next.Active != o.applied.Active {
		o.logChange(next.Active, now)
	}
	next.Fractions = slices.Clone(next.Fractions) // the controller reuses the slice
	o.applied = next
}

// logChange logs the start or the end of an overload.
func (o *overloadAgent) logChange(active bool, now time.Duration) {
	rates := o.controller.Rates()
	args := []any{"code", "cluster_overload", "asked_per_s", sum(rates.Requested), "done_per_s", sum(rates.Accepted), "members", rates.Members}
	if active {
		o.activeSince = now
		o.link.log.Warn("servers overloaded: the fleet admits requests by priority", args...)
		return
	}
	args = append(args, "after_ms", (now - o.activeSince).Milliseconds())
	o.link.log.Info("server overload ended: the fleet admits all requests", args...)
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// sendReports sends the load reports of this and other members to some members.
func (o *overloadAgent) sendReports(now time.Duration) {
	var reports []membership.LoadReport
	for _, s := range o.controller.NextSummaries(now, o.reportsPerMessage) {
		reports = append(reports, reportFromSummary(s))
	}
	o.link.core.SendToRandomMembers(membership.Message{Kind: membership.LoadReports, LoadReports: reports})
}

// status returns the status shown to operators, or nil if overload control is off.
func (o *overloadAgent) status() *OverloadStatus {
	if o == nil {
		return nil
	}
	rates := o.controller.Rates()
	out := &OverloadStatus{
		Active:      o.applied.Active,
		Requested:   map[string]float64{},
		Accepted:    map[string]float64{},
		Admit:       map[string]float64{},
		Limit:       rates.Limit,
		Members:     rates.Members,
		Coverage:    rates.Coverage,
		RetryBudget: 1 - o.applied.RetryBudgetReduction,
	}
	if rates.Attempts > 0 {
		out.FailureRatio = 1 - rates.Successes/rates.Attempts
	}
	if o.applied.Active {
		out.Duration = (o.link.now() - o.activeSince).Milliseconds()
	}
	for i, name := range o.classes {
		if i < len(rates.Requested) {
			out.Requested[name] = rates.Requested[i]
			out.Accepted[name] = rates.Accepted[i]
		}
		if i < len(o.applied.Fractions) {
			out.Admit[name] = o.applied.Fractions[i]
		}
	}
	return out
}
