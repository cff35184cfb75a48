package cluster

import (
	"slices"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/internal/overload"
)

const (
	// loadEvery is how often the cut is worked out and, while there is one, told; calmEvery how often figures are told else:
	// the first decision of an overload needs two rates of every member.
	loadEvery, calmEvery = 250 * time.Millisecond, 750 * time.Millisecond

	// loadBytes is what the figures of one message may take, itemBytes and classBytes what a member's does by its classes.
	loadBytes, itemBytes, classBytes = 900, 64, 12
)

// load is the link's part in the overload of the fleet as one; nil where it is off. The core's owner runs it.
type load struct {
	l       *link
	s       *overload.Controller
	classes []string
	each    int // summaries in one message
	next    time.Duration
	told    time.Duration
	cut     overload.Admission
	since   time.Duration
}

// loadOf makes the part; nil where it is not configured.
func loadOf(l *link) *load {
	if !l.o.Overload {
		return nil
	}
	o := &load{l: l}
	var classes []overload.Class
	for _, c := range l.node.Classes() {
		o.classes = append(o.classes, c.Name)
		classes = append(classes, overload.Class{Name: c.Name, Priority: c.PriorityWeight})
	}
	o.each = max(1, loadBytes/(itemBytes+classBytes*len(classes)))
	o.s = overload.New(overload.Options{Name: l.name, Generation: l.core.Generation(), Classes: classes})
	return o
}

// end ends the cut: nobody would work it out any more.
func (o *load) end() {
	if o != nil {
		o.l.node.ApplyEvent(balancer.FleetAdmission{}, false)
	}
}

// counts are the node's own since its start.
func (o *load) counts() overload.Counts {
	c := o.l.node.Counters()
	out := overload.Counts{Shed: uint64(c.Rejected.Get("fleet_cut")), Successes: uint64(c.Outcomes.Get("served"))}
	out.Attempts = max(out.Successes, uint64(c.Attempts.Sent.Get()-c.Attempts.Open.Get()))
	for _, name := range o.classes {
		k := c.Operations.For(name)
		done := uint64(k.Fulfilled.Get() + k.Faulted.Get())
		out.Accepted = append(out.Accepted, done)
		out.Requested = append(out.Requested, done+uint64(k.Throttled.Get()))
	}
	return out
}

// hear takes others' figures in.
func (o *load) hear(m *membership.Message) {
	if o == nil || m.Kind != membership.LoadReports {
		return
	}
	now := o.l.now()
	for _, i := range m.LoadReports {
		if i.Name == o.l.name || len(i.Counts) != 2*len(o.classes) {
			continue
		}
		s := overload.Summary{Name: i.Name, Generation: i.Generation, At: time.Duration(i.At) * time.Millisecond, Age: time.Duration(i.Age) * time.Millisecond,
			Counts: overload.Counts{Shed: i.Shed, Attempts: i.Attempts, Successes: i.Successes, Requested: i.Counts[:len(o.classes)], Accepted: i.Counts[len(o.classes):]}}
		o.s.Merge(now, s)
	}
}

// tick works the cut out, and tells figures.
func (o *load) tick() {
	if o == nil {
		return
	}
	now := o.l.now()
	if now < o.next {
		return
	}
	o.next = now + loadEvery
	o.s.Observe(now, now, o.counts())
	cut := o.s.Decide(now, o.l.core.View().Members)
	o.heed(cut, now)
	if now-o.told >= calmEvery || cut.Active {
		o.told = now
		o.spread(now)
	}
}

// heed has the module follow the cut, where it has changed.
func (o *load) heed(cut overload.Admission, now time.Duration) {
	if cut.Active || o.cut.Active || cut.RetryHoldback != o.cut.RetryHoldback {
		shares := map[string]float64{}
		for i, name := range o.classes {
			if cut.Active {
				shares[name] = cut.Fractions[i]
			}
		}
		o.l.node.ApplyEvent(balancer.FleetAdmission{AdmittedFraction: shares, RetryReduction: cut.RetryHoldback}, false)
	}
	if cut.Active != o.cut.Active {
		f := o.s.Rates()
		args := []any{"code", "cluster_overload", "asked_per_s", total(f.Requested), "done_per_s", total(f.Accepted), "members", f.Members}
		if cut.Active {
			o.since = now
			o.l.log.Warn("there is more work than the servers can do: the fleet lets the dearest in first", args...)
		} else {
			o.l.log.Info("the servers can do all that is asked for again", append(args, "after_ms", (now-o.since).Milliseconds())...)
		}
	}
	o.cut = overload.Admission{Active: cut.Active, Fractions: slices.Clone(cut.Fractions), RetryHoldback: cut.RetryHoldback}
}

func total(x []float64) (out float64) {
	for _, v := range x {
		out += v
	}
	return out
}

// spread tells some members what is known of all.
func (o *load) spread(now time.Duration) {
	var items []membership.LoadReport
	for _, s := range o.s.NextSummaries(now, o.each) {
		items = append(items, membership.LoadReport{Name: s.Name, Generation: s.Generation, At: uint64(s.At.Milliseconds()), Age: uint32(s.Age.Milliseconds()),
			Shed: s.Shed, Attempts: s.Attempts, Successes: s.Successes, Counts: append(slices.Clone(s.Requested), s.Accepted...)})
	}
	o.l.core.SendToSome(membership.Message{Kind: membership.LoadReports, LoadReports: items})
}

// LoadStatus is what a member holds of the fleet's load.
type OverloadStatus struct {
	Active       bool               `json:"active"`
	Requested    map[string]float64 `json:"asked_per_s"`
	Accepted     map[string]float64 `json:"done_per_s"` // not refused
	Admit        map[string]float64 `json:"admit"`
	Limit        float64            `json:"limit_per_s"` // what is let in; 0: all
	Members      int                `json:"members"`     // whose figures these are
	Coverage     float64            `json:"cover"`       // share of the view that was heard of
	FailureRatio float64            `json:"failing"`     // part of all attempts that fail
	RetryBudget  float64            `json:"retries"`     // part of the budget for further attempts that is free
	Duration     int64              `json:"for_ms"`      // it has been so; 0 where there is no cut
}

// status is for whoever asks; nil where it is off.
func (o *load) status() *OverloadStatus {
	if o == nil {
		return nil
	}
	f := o.s.Rates()
	out := &OverloadStatus{Active: o.cut.Active, Requested: map[string]float64{}, Accepted: map[string]float64{}, Admit: map[string]float64{}, Limit: f.Limit,
		Members: f.Members, Coverage: f.Coverage}
	out.RetryBudget = 1 - o.cut.RetryHoldback
	if f.Attempts > 0 {
		out.FailureRatio = 1 - f.Successes/f.Attempts
	}
	if o.cut.Active {
		out.Duration = (o.l.now() - o.since).Milliseconds()
	}
	for i, name := range o.classes {
		if i < len(f.Requested) {
			out.Requested[name], out.Accepted[name] = f.Requested[i], f.Accepted[i]
		}
		if i < len(o.cut.Fractions) {
			out.Admit[name] = o.cut.Fractions[i]
		}
	}
	return out
}
