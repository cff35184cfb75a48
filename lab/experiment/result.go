package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/nodeproc"
	"tackhub.example/tackhub/lab/scenario"
)

// Verdict is what a run proves.
type Verdict string

// The verdicts.
const (
	VerdictOK    Verdict = "ok"    // no rule was broken and every expectation is met
	VerdictShort Verdict = "short" // a rule was broken, or an expectation is not met
	VerdictVoid  Verdict = "void"  // nothing: the run was interrupted, or the lab itself was late
)

// Progress is what happened in one second of a run, reported while it plays.
type Progress struct {
	At       time.Duration
	Asked    int
	Worth    float64
	P50, P99 float64
	Rejected int
	Failed   int
	Ejected  []string
	Events   []string
	Loads    []backend.ServerLoad
}

// Mark is a fault as it was injected.
type Mark struct {
	At   float64 `json:"at_s"`
	Text string  `json:"text"`
}

// Result is what a whole run came to.
type Result struct {
	Scenario       string                 `json:"scenario"`
	About          string                 `json:"about"`
	Verdict        Verdict                `json:"verdict"`
	Unmet          []string               `json:"short,omitempty"`
	VoidReason     string                 `json:"void,omitempty"`
	Breaches       []audit.Breach         `json:"breaches,omitempty"`
	BreachesByRule map[string]int         `json:"breaches_by_rule,omitempty"`
	Figures        Figures                `json:"figures"`
	Seconds        []Second               `json:"seconds"`
	Marks          []Mark                 `json:"marks"`
	Nodes          []nodeproc.Report      `json:"nodes"`
	Servers        [][]backend.ServerLoad `json:"servers"` // by half second
	Members        *audit.MemberFigures   `json:"members,omitempty"`
	Files          map[string]int         `json:"inventory_files,omitempty"` // rewritten well and badly, over all nodes
	Seed           uint64                 `json:"seed"`
	Schedule       string                 `json:"schedule"` // its hash
	Build          string                 `json:"build"`
	Machine        string                 `json:"machine"`
	When           time.Time              `json:"when"`
	Took           float64                `json:"took_s"`
	KilledStops    int                    `json:"killed"` // planned stops that SIGKILL ended
	Record         audit.Record           `json:"-"`
	Began          time.Time              `json:"-"` // the zero of the record's times
	Logs           []string               `json:"-"`
}

// summarize works out the result.
func (r *run) summarize(out *Result, err error) {
	s := r.options.Scenario
	attempts, ops := r.load.Results()
	record := r.record(attempts)
	if r.options.Companion != nil {
		record.Attempts = append(record.Attempts, r.options.Companion.Attempts()...)
	}
	out.Record = record
	out.KilledStops = r.nodes.KilledStops()
	out.Breaches = record.Judge(audit.Limits{DrainGrace: s.Nodes.DrainGrace, ResponseSlack: responseSlack, LinkDelay: maxLinkDelay(s)})
	out.BreachesByRule = map[string]int{}
	for _, b := range out.Breaches {
		out.BreachesByRule[b.Rule]++
	}
	out.Figures = figures(s, ops)
	out.Seconds = seconds(s, ops)
	out.Marks = r.marks
	out.Servers = r.servers
	out.Nodes = r.nodes.Reports()
	r.sumNodeCosts(&out.Figures, out.Nodes)
	if r.mesh != nil {
		r.judgeMembers(out)
	}
	if e := s.Expect.Recover; e != nil {
		if d, ok := recovered(s, ops, *e); ok {
			sec := d.Seconds()
			out.Figures.Recovered = &sec
		}
	}
	out.Figures.WorkTimes = r.fleet.WorkStarted().Seconds() / math.Max(1e-9, r.workAsked().Seconds())
	for i := range out.Nodes {
		out.Logs = append(out.Logs, r.nodes.Log(i))
	}
	if r.writer != nil {
		out.Files = map[string]int{"good": r.writer.GoodFiles, "bad": r.writer.BadFiles}
	}
	out.Unmet = unmetExpectations(s, out.Figures)
	out.VoidReason = r.voidReason(out.Figures, err)
	out.Verdict = out.verdict()
}

// verdict is the verdict that follows from the rest of the result.
func (r *Result) verdict() Verdict {
	switch {
	case r.VoidReason != "":
		return VerdictVoid
	case len(r.Breaches) > 0 || len(r.Unmet) > 0:
		return VerdictShort
	}
	return VerdictOK
}

// workAsked is the work of all scheduled requests, retries not counted.
func (r *run) workAsked() time.Duration {
	sum := time.Duration(0)
	for _, a := range r.sched.Arrivals {
		sum += a.Work
	}
	return sum
}

// maxClockSkew is how far the clocks of lab and node may differ. What is measured includes a log line's way through a pipe,
// which takes milliseconds on a busy machine; a clock that is really wrong differs by more.
const maxClockSkew = 50 * time.Millisecond

// voidReason says why a run proves nothing; empty where it does.
func (r *run) voidReason(f Figures, err error) string {
	late := float64(r.options.Scenario.RigLate) / float64(time.Millisecond)
	skew := float64(maxClockSkew) / float64(time.Millisecond)
	switch {
	case errors.Is(err, context.Canceled):
		return "cut off"
	case err != nil:
		return err.Error()
	case f.RigLate > late:
		return fmt.Sprintf("the rig was late: p99 %.1f ms, at most %.1f allowed", f.RigLate, late)
	case math.Abs(f.Skew) > skew:
		return fmt.Sprintf("clocks of rig and nodes lie %.1f ms apart", f.Skew)
	case f.Asked == 0:
		return "nothing was asked"
	}
	return ""
}

// record joins what all parties saw. Clients' times count from the schedule's start, the servers' from the run's.
func (r *run) record(attempts []audit.Attempt) audit.Record {
	record := r.fleet.Record()
	record.Outages, record.Pauses = r.nodes.Outages(), r.nodes.Pauses()
	if r.writer != nil { // the nodes listen to their files alone
		record.ListUpdates = r.writer.ListUpdates()
	}
	for _, t := range attempts {
		t.Sent, t.Deadline, t.Ended = t.Sent+r.scheduleStart, t.Deadline+r.scheduleStart, t.Ended+r.scheduleStart
		record.Attempts = append(record.Attempts, t)
	}
	return record
}

// maxLinkDelay is the most that the lab's links usually delay one message between node and server. The four RTOs cover two
// losses of one segment in a row (1+2 RTO); three or more are one in a thousand at a loss of a tenth.
func maxLinkDelay(s *scenario.Scenario) time.Duration {
	most := func(l scenario.Impairment) time.Duration {
		d := l.Delay + l.Jitter
		if l.Loss > 0 {
			d += 4 * max(l.RTO, 200*time.Millisecond)
		}
		return d
	}
	return most(s.Links.Servers) + s.Fleet.ZoneDelay
}

// sumNodeCosts adds the nodes' measurements to the figures.
func (r *run) sumNodeCosts(f *Figures, nodes []nodeproc.Report) {
	for _, n := range nodes {
		f.Crashes += n.Crashes
		for _, s := range n.Samples {
			f.MemoryMB = max(f.MemoryMB, float64(s.RSS)/(1<<20))
			f.Sockets = max(f.Sockets, s.Sockets)
		}
		if k := len(n.Samples); k > 1 {
			first, last := n.Samples[0], n.Samples[k-1]
			f.CPU += (last.CPU - first.CPU) / (last.At - first.At).Seconds() / float64(len(nodes))
		}
	}
	f.Skew = r.nodes.ClockSkew()
}

// machine describes where the run was played.
func machine() string {
	var u syscall.Utsname
	release := ""
	if syscall.Uname(&u) == nil {
		for _, c := range u.Release {
			if c == 0 {
				break
			}
			release += string(rune(c))
		}
	}
	return fmt.Sprintf("%d cores, %s/%s, kernel %s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, release, runtime.Version())
}
