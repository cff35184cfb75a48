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

// Verdict is the overall result of a run.
type Verdict string

// The verdicts of a run.
const (
	VerdictOK      Verdict = "ok"    // no rule was broken and every expectation was met
	VerdictFailed  Verdict = "short" // a rule was broken or an expectation was not met
	VerdictInvalid Verdict = "void"  // the run shows nothing about the nodes: it was interrupted, or the lab itself was too slow
)

// Progress holds the measurements since the last progress report, about one second of a run.
type Progress struct {
	At       time.Duration
	Requests int
	Goodput  float64
	P50, P99 float64
	Rejected int
	Failed   int
	Ejected  []string
	Events   []string
	Loads    []backend.ServerLoad
}

// Mark is an injected fault, or the end of one, with its time since the start of the schedule.
type Mark struct {
	At   float64 `json:"at_s"`
	Text string  `json:"text"`
}

// Result holds the verdict, the measurements and the records of a run.
type Result struct {
	Scenario       string                 `json:"scenario"`
	About          string                 `json:"about"`
	Verdict        Verdict                `json:"verdict"`
	Unmet          []string               `json:"short,omitempty"`
	InvalidReason  string                 `json:"void,omitempty"`
	Breaches       []audit.Breach         `json:"breaches,omitempty"`
	BreachesByRule map[string]int         `json:"breaches_by_rule,omitempty"`
	Figures        Figures                `json:"figures"`
	Seconds        []Second               `json:"seconds"`
	Marks          []Mark                 `json:"marks"`
	Nodes          []nodeproc.Report      `json:"nodes"`
	Servers        [][]backend.ServerLoad `json:"servers"` // every 500 ms
	Members        *audit.MemberFigures   `json:"members,omitempty"`
	Files          map[string]int         `json:"inventory_files,omitempty"` // rewrites by validity (good, bad), over all nodes
	Seed           uint64                 `json:"seed"`
	Schedule       string                 `json:"schedule"` // hash of the schedule
	Build          string                 `json:"build"`
	Machine        string                 `json:"machine"`
	When           time.Time              `json:"when"`
	Took           float64                `json:"took_s"`
	KilledStops    int                    `json:"killed"` // planned stops that were ended by SIGKILL
	Record         audit.Record           `json:"-"`
	Began          time.Time              `json:"-"` // start of the run; the times in Record are relative to it
	Logs           []string               `json:"-"`
}

// summarize computes the figures, the breaches and the verdict of a run that ended with err.
func (r *run) summarize(out *Result, err error) {
	s := r.options.Scenario
	attempts, ops := r.load.Results()
	record := r.buildRecord(attempts)
	if r.options.Companion != nil {
		record.Attempts = append(record.Attempts, r.options.Companion.Attempts()...)
	}
	out.Record = record
	out.KilledStops = r.nodes.KilledStops()
	out.Breaches = record.Judge(audit.Limits{DrainGrace: s.Nodes.DrainGrace, ResponseSlack: responseSlack, LinkDelay: maxLinkDelay(s)})
	out.Nodes = r.nodes.Reports()
	if r.options.Companion != nil {
		out.Breaches = append(out.Breaches, r.options.Companion.Breaches()...)
	}
	out.Breaches = append(out.Breaches, memoryBreaches(s, out.Nodes)...)
	out.BreachesByRule = map[string]int{}
	for _, b := range out.Breaches {
		out.BreachesByRule[b.Rule]++
	}
	out.Figures = computeFigures(s, ops)
	out.Seconds = computeSeconds(s, ops)
	out.Marks = r.marks
	out.Servers = r.serverLoads
	r.addNodeUsage(&out.Figures, out.Nodes)
	if r.mesh != nil {
		r.judgeMembers(out)
	}
	if e := s.Expect.Recover; e != nil {
		if recoveredAfter, ok := recoveryTime(s, ops, *e); ok {
			recoverySeconds := recoveredAfter.Seconds()
			out.Figures.RecoverySeconds = &recoverySeconds
		}
	}
	out.Figures.WorkRatio = r.fleet.WorkStarted().Seconds() / math.Max(1e-9, r.scheduledWork().Seconds())
	for i := range out.Nodes {
		out.Logs = append(out.Logs, r.nodes.Log(i))
	}
	if r.inventoryWriter != nil {
		out.Files = map[string]int{"good": r.inventoryWriter.ValidFiles, "bad": r.inventoryWriter.InvalidFiles}
	}
	out.Unmet = unmetExpectations(s, out.Figures)
	out.InvalidReason = r.invalidReason(out.Figures, err)
	out.Verdict = out.verdict()
}

// verdict returns the verdict that follows from the rest of the result.
func (r *Result) verdict() Verdict {
	switch {
	case r.InvalidReason != "":
		return VerdictInvalid
	case len(r.Breaches) > 0 || len(r.Unmet) > 0:
		return VerdictFailed
	}
	return VerdictOK
}

// scheduledWork returns the total work of all scheduled requests, without retries.
func (r *run) scheduledWork() time.Duration {
	sum := time.Duration(0)
	for _, a := range r.sched.Arrivals {
		sum += a.Work
	}
	return sum
}

// maxClockSkew is the largest measured difference between the clocks of the lab and the nodes at which a run is valid. The
// measurement includes the time that a log line takes through a pipe, which is several milliseconds on a busy machine. A
// wrong clock differs by more.
const maxClockSkew = 50 * time.Millisecond

// invalidReason returns why a run is invalid, or an empty string if it is valid.
func (r *run) invalidReason(f Figures, err error) string {
	maxDelay := float64(r.options.Scenario.MaxSendDelay) / float64(time.Millisecond)
	maxSkew := float64(maxClockSkew) / float64(time.Millisecond)
	switch {
	case errors.Is(err, context.Canceled):
		return "the run was interrupted"
	case err != nil:
		return err.Error()
	case f.SendDelayP99 > maxDelay:
		return fmt.Sprintf("the lab sent requests late: p99 delay %.1f ms, limit %.1f ms", f.SendDelayP99, maxDelay)
	case math.Abs(f.ClockSkew) > maxSkew:
		return fmt.Sprintf("the clocks of lab and nodes differ by %.1f ms, limit %.1f ms", f.ClockSkew, maxSkew)
	case f.Requests == 0:
		return "no request was sent in the measured part of the run"
	}
	return ""
}

// buildRecord combines the records of clients, servers and nodes for the auditor. The times of the clients' attempts are
// relative to the start of the schedule. buildRecord converts them to times since the start of the run, as in the other
// records.
func (r *run) buildRecord(attempts []audit.Attempt) audit.Record {
	record := r.fleet.Record()
	record.Outages, record.Pauses, record.Starts = r.nodes.Outages(), r.nodes.Pauses(), r.nodes.Starts()
	if r.inventoryWriter != nil { // the nodes read their endpoint lists only from the inventory files
		record.ListUpdates = r.inventoryWriter.ListUpdates()
	}
	for _, attempt := range attempts {
		attempt.Sent, attempt.Deadline, attempt.Ended = attempt.Sent+r.scheduleStart, attempt.Deadline+r.scheduleStart, attempt.Ended+r.scheduleStart
		record.Attempts = append(record.Attempts, attempt)
	}
	return record
}

// maxLinkDelay returns the longest usual delay of a message between node and server on the lab's links. If the links lose
// packets, it adds four retransmission timeouts (RTO), which cover two consecutive losses of a segment (1 + 2 RTO). With a
// loss of 10%, only one segment in a thousand is lost three or more times in a row.
func maxLinkDelay(s *scenario.Scenario) time.Duration {
	linkDelay := func(link scenario.Impairment) time.Duration {
		delay := link.Delay + link.Jitter
		if link.Loss > 0 {
			delay += 4 * max(link.RTO, 200*time.Millisecond)
		}
		return delay
	}
	return linkDelay(s.Links.Servers) + s.Fleet.ZoneDelay
}

// addNodeUsage adds the nodes' crashes, resource usage and clock skew to the figures.
func (r *run) addNodeUsage(f *Figures, nodes []nodeproc.Report) {
	for _, node := range nodes {
		f.Crashes += node.Crashes
		for _, sample := range node.Samples {
			f.MemoryMB = max(f.MemoryMB, float64(sample.RSS)/(1<<20))
			f.Sockets = max(f.Sockets, sample.Descriptors)
		}
		if samples := len(node.Samples); samples > 1 {
			first, last := node.Samples[0], node.Samples[samples-1]
			f.CPU += (last.CPU - first.CPU) / (last.At - first.At).Seconds() / float64(len(nodes))
		}
	}
	f.ClockSkew = r.nodes.ClockSkew()
}

// memoryBreaches returns a breach for each node that has exceeded its memory limit.
func memoryBreaches(s *scenario.Scenario, nodes []nodeproc.Report) []audit.Breach {
	var breaches []audit.Breach
	for i, node := range nodes {
		if total := float64(node.Peak.Total()) / (1 << 20); total > s.Nodes.MemoryMB {
			breaches = append(breaches, audit.Breach{Rule: audit.RuleMemory, At: node.Peak.At, Text: fmt.Sprintf(
				"node %d used %.0f MB, %.0f MB of them in files, with a limit of %.0f MB", i, total, float64(node.Peak.Files)/(1<<20), s.Nodes.MemoryMB)})
		}
	}
	return breaches
}

// describeMachine returns the cores, platform, kernel and Go version of the machine.
func describeMachine() string {
	var names syscall.Utsname
	release := ""
	if syscall.Uname(&names) == nil {
		for _, c := range names.Release {
			if c == 0 {
				break
			}
			release += string(rune(c))
		}
	}
	return fmt.Sprintf("%d cores, %s/%s, kernel %s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, release, runtime.Version())
}
