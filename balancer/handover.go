package balancer

// What two processes that are one node during an upgrade tell each other, and plain bookkeeping over it. No decisions:
// those are in logic.go.

// Beside says of how many processes this node is made now: two during an upgrade, else one.
type SiblingProcesses struct{ Count int }

// Inherited is what the process before this one knew, of servers that this one has in its list.
type StateTransferred struct{ State State }

func (SiblingProcesses) event() {}
func (StateTransferred) event() {}

// State is what a node knows, in a form that another process can read. Times are the node's clock's: Unix milliseconds.
// The JSON names are the form between versions: an old process hands over to a new one.
type State struct {
	Unit      float64 `json:"Unit"`
	Pace      float64 `json:"Pace"`
	Width     float64 `json:"Width"`
	Lag       float64 `json:"Lag"`
	HintMean  float64 `json:"HintMean"`
	Crowd     float64 `json:"Crowd"`
	ProbeTook float64 `json:"ProbeTook"`
	Ease      float64 `json:"Ease"`
	Retries   float64 `json:"Retries"`
	Probes    float64 `json:"Probes"`

	Servers []ServerRecord          `json:"Servers"`
	Classes map[string]ClassRecord  `json:"Classes"`
	Tenants map[string]TenantRecord `json:"Tenants"`
}

// ServerRecord is what a node knows of one server.
type ServerRecord struct {
	ID        ServerID           `json:"ID"`
	Started   float64            `json:"Started"`
	Latency   float64            `json:"Latency"`
	Unit      float64            `json:"Unit"`
	OutcomeAt float64            `json:"OutcomeAt"`
	FailedAt  float64            `json:"FailedAt"`
	Seen      bool               `json:"Seen"`
	Excluded  bool               `json:"Excluded"`
	TrialAt   float64            `json:"TrialAt"`
	Score     float64            `json:"Score"`
	Others    float64            `json:"Others"`
	OthersAvg float64            `json:"OthersAvg"`
	ReportAt  float64            `json:"ReportAt"`
	Failures  int                `json:"Failures"`
	Ok        []int              `json:"Ok"` // by second of the error window
	Fail      []int              `json:"Fail"`
	Seconds   []int64            `json:"Seconds"`
	Recent    []bool             `json:"Recent"` // oldest first
	Budget    float64            `json:"Budget"`
	BudgetAt  float64            `json:"BudgetAt"`
	Bad       map[string]float64 `json:"Bad"` // by class
	BadAt     map[string]float64 `json:"BadAt"`
}

// ClassRecord is what was asked for and served of a class.
type ClassRecord struct {
	Asked      float64 `json:"Asked"`
	Served     float64 `json:"Served"`
	At         float64 `json:"At"`
	LongestTry float64 `json:"LongestTry"`
}

// TenantRecord is what was asked for and served of a tenant, and its rate.
type TenantRecord struct {
	Asked   float64 `json:"Asked"`
	Served  float64 `json:"Served"`
	At      float64 `json:"At"`
	Rate    float64 `json:"Rate"`
	RateAt  float64 `json:"RateAt"`
	Quota   float64 `json:"Quota"`
	QuotaAt float64 `json:"QuotaAt"`
}

// Snapshot is what the node knows. What is left of a cold server's budget is split evenly between the two processes once
// Beside has told of both, so that they cannot spend it twice.
func (l *Balancer) Snapshot() State {
	s := State{Unit: l.unit, Pace: l.pace, Width: l.width, Lag: l.lag, HintMean: l.hintMean, Crowd: l.crowd,
		ProbeTook: l.probeTook, Ease: l.ease, Retries: l.retries.left, Probes: l.probes.left,
		Classes: map[string]ClassRecord{}, Tenants: map[string]TenantRecord{}}
	for name, c := range l.classes {
		s.Classes[name] = ClassRecord{c.asked, c.served, c.at, c.longestTry}
	}
	for name, t := range l.tenants {
		s.Tenants[name] = TenantRecord{t.asked, t.served, t.at, t.rate, t.rateAt, t.quota.left, t.quota.at}
	}
	for _, o := range l.known {
		r := ServerRecord{ID: o.ID, Started: o.Started, Latency: o.latency, Unit: o.unit, OutcomeAt: o.outcomeAt,
			FailedAt: o.failedAt, Seen: o.seen, Excluded: o.excluded, TrialAt: o.trialAt, Score: o.score, Others: o.others,
			OthersAvg: o.othersAvg, ReportAt: o.reportAt, Failures: o.failures, Budget: o.budget.left, BudgetAt: o.budget.at,
			Bad: map[string]float64{}, BadAt: map[string]float64{}}
		for _, b := range o.buckets {
			r.Ok, r.Fail, r.Seconds = append(r.Ok, b.ok), append(r.Fail, b.fail), append(r.Seconds, b.index)
		}
		for i := range o.recentLen {
			r.Recent = append(r.Recent, o.recent[(o.recentPos-o.recentLen+i+recentCount)%recentCount])
		}
		for name, c := range l.classes {
			if h := o.class(c); h.tried {
				r.Bad[name], r.BadAt[name] = h.bad, h.at
			}
		}
		s.Servers = append(s.Servers, r)
	}
	return s
}

// beside makes this process one of so many with the same part of all: what a node may send a cold server, and the odd
// request that finds out whether a slowdown is over, is shared by the nodes, and a node's part by its processes.
func (l *Balancer) beside(processes int) {
	if l.processes == processes || processes < 1 {
		return
	}
	l.set.Nodes = l.set.Nodes / l.processes * processes
	if processes > l.processes { // what is left is split; it does not double when there is one again
		for _, s := range l.known {
			s.budget.left *= float64(l.processes) / float64(processes)
		}
	}
	l.processes = processes
}

// inherit takes over what is known of servers that have not started anew since.
func (l *Balancer) inherit(from State) {
	l.unit, l.pace, l.width, l.lag, l.hintMean = from.Unit, from.Pace, from.Width, from.Lag, from.HintMean
	l.crowd, l.probeTook, l.ease = from.Crowd, from.ProbeTook, from.Ease
	l.retries.left, l.probes.left = from.Retries, from.Probes
	for name, r := range from.Classes {
		if c := l.classes[name]; c != nil {
			c.share, c.longestTry = share{r.Asked, r.Served, r.At}, r.LongestTry
		}
	}
	for name, r := range from.Tenants {
		if t := l.tenants[name]; t != nil {
			t.share, t.rate, t.rateAt = share{r.Asked, r.Served, r.At}, r.Rate, r.RateAt
			t.quota = tokens{r.Quota, r.QuotaAt}
		}
	}
	for _, r := range from.Servers {
		s := l.servers[r.ID]
		if s == nil || s.Started != r.Started {
			continue
		}
		s.latency, s.unit, s.seen, s.outcomeAt, s.failedAt = r.Latency, r.Unit, r.Seen, r.OutcomeAt, r.FailedAt
		s.excluded, s.trialAt, s.score, s.failures = r.Excluded, r.TrialAt, r.Score, r.Failures
		s.others, s.othersAvg, s.reportAt = r.Others, r.OthersAvg, r.ReportAt
		s.budget, s.lookedAt = tokens{r.Budget, r.BudgetAt}, -1
		for i := range min(len(r.Ok), len(r.Fail), len(r.Seconds), bucketCount) {
			s.buckets[i] = bucket{r.Seconds[i], r.Ok[i], r.Fail[i]}
		}
		s.recentLen, s.recentPos = 0, 0
		for _, good := range r.Recent[:min(len(r.Recent), recentCount)] {
			s.recent[s.recentPos] = good
			s.recentPos, s.recentLen = (s.recentPos+1)%recentCount, s.recentLen+1
		}
		for name, bad := range r.Bad {
			if c := l.classes[name]; c != nil {
				*s.class(c) = classHealth{bad: bad, tried: true, at: r.BadAt[name]}
			}
		}
	}
	l.listed++
}
