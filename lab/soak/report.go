package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/experiment"
)

// timelineWindow is how far around a breach the time line reaches.
const timelineWindow = 1500 * time.Millisecond

// maxLogLines bounds the node's log lines in one time line.
const maxLogLines = 40

// ShutdownReport is a node's own log line at the end of a planned stop.
type ShutdownReport struct {
	Code             string `json:"code"`
	TookMS           int    `json:"took_ms"`
	InFlightAtSignal int    `json:"open_at_signal"`
	ReadAfterSignal  int    `json:"read_since"`
	Answered         int    `json:"answered"`
	Rejected         int    `json:"refused"`
	Unanswered       int    `json:"unanswered"`
	LatestMS         int    `json:"latest_answer_ms"`
}

// Figures sum up one run, or several.
type Figures struct {
	Runs             int
	Stops            int
	KilledStops      int // stops that SIGKILL ended
	InFlightAtSignal int // requests in flight at the signals
	ReadAfterSignal  int // requests read after them
	Answered         int
	Rejected         int
	Unanswered       int
	Attempts         int
	RacedCloses      int
	Crashes          int
	Breaches         map[string]int
	KillMargins      []int // milliseconds between a stop's latest answer and the earliest kill, sorted
}

// shutdownReports reads the nodes' log lines of their planned stops.
func shutdownReports(logs []string) []ShutdownReport {
	var out []ShutdownReport
	for _, log := range logs {
		for line := range strings.Lines(log) {
			if !strings.Contains(line, `"code":"drain_end"`) {
				continue
			}
			var d ShutdownReport
			if json.Unmarshal([]byte(line), &d) == nil {
				out = append(out, d)
			}
		}
	}
	return out
}

// Summarize works out the figures of one run. kill is the earliest time of SIGKILL after SIGTERM.
func Summarize(r *experiment.Result, clients *Clients, kill time.Duration) Figures {
	f := Figures{Runs: 1, Stops: len(clients.ObservedStops()), KilledStops: r.KilledStops, RacedCloses: clients.RacedCloses(), Attempts: len(r.Record.Attempts),
		Crashes: r.Figures.Crashes, Breaches: r.BreachesByRule}
	for _, d := range shutdownReports(r.Logs) {
		f.InFlightAtSignal += d.InFlightAtSignal
		f.ReadAfterSignal += d.ReadAfterSignal
		f.Answered += d.Answered
		f.Rejected += d.Rejected
		f.Unanswered += d.Unanswered
		f.KillMargins = append(f.KillMargins, int(kill.Milliseconds())-d.LatestMS)
	}
	sort.Ints(f.KillMargins)
	return f
}

// Add adds another run's figures.
func (f *Figures) Add(g Figures) {
	if f.Breaches == nil {
		f.Breaches = map[string]int{}
	}
	f.Runs += g.Runs
	f.Stops += g.Stops
	f.KilledStops += g.KilledStops
	f.InFlightAtSignal += g.InFlightAtSignal
	f.ReadAfterSignal += g.ReadAfterSignal
	f.Answered += g.Answered
	f.Rejected += g.Rejected
	f.Unanswered += g.Unanswered
	f.Attempts += g.Attempts
	f.RacedCloses += g.RacedCloses
	f.Crashes += g.Crashes
	for rule, n := range g.Breaches {
		f.Breaches[rule] += n
	}
	f.KillMargins = append(f.KillMargins, g.KillMargins...)
	sort.Ints(f.KillMargins)
}

// String is the figures in one line.
func (f Figures) String() string {
	least, p1 := "none", "none"
	if n := len(f.KillMargins); n > 0 {
		least, p1 = fmt.Sprintf("%d ms", f.KillMargins[0]), fmt.Sprintf("%d ms", f.KillMargins[n/100])
	}
	share := 0.0
	if all := f.Answered + f.Rejected; all > 0 {
		share = float64(f.Rejected) / float64(all)
	}
	return fmt.Sprintf("runs %d stops %d killed %d in-flight %d read-after %d refused-share %.3f unanswered %d latest-answer-before-kill min %s p1 %s tries %d crossed %d crashes %d breaks %v",
		f.Runs, f.Stops, f.KilledStops, f.InFlightAtSignal, f.ReadAfterSignal, share, f.Unanswered, least, p1, f.Attempts, f.RacedCloses, f.Crashes, f.Breaches)
}

// WriteTimeline writes what clients, servers and the node recorded around a breach.
func WriteTimeline(w io.Writer, r *experiment.Result, b audit.Breach) {
	id, _, _ := strings.Cut(b.Text, " ")
	type entry struct {
		at   time.Duration
		text string
	}
	var lines []entry
	add := func(at time.Duration, format string, args ...any) {
		lines = append(lines, entry{at, fmt.Sprintf(format, args...)})
	}
	node := -1
	for _, t := range r.Record.Attempts {
		if t.ID == id {
			node = t.Node
			add(t.Sent, "client: %s written to node %d, waits until %.3f", t.ID, t.Node, t.Deadline.Seconds())
			add(t.Ended, "client: %s ended: %v, status %d", t.ID, t.Outcome, t.Status)
		}
	}
	for _, c := range r.Record.Receipts {
		if c.ID == id {
			add(c.At, "server %s: got %s from node %d, told to work for %v", c.Server, c.ID, c.Node, c.Deadline)
		}
	}
	for _, run := range r.Record.Executions {
		if run.ID == id {
			add(run.At, "server %s: began %s", run.Server, run.ID)
		}
	}
	for _, p := range r.Record.Pauses {
		if p.Node == node && p.From <= b.At && p.To >= b.At-timelineWindow {
			add(p.From, "node %d: held up until %.3f", p.Node, p.To.Seconds())
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at < lines[j].at })
	for _, l := range lines {
		_, _ = fmt.Fprintf(w, "  %9.3f %s\n", l.at.Seconds(), l.text)
	}
	if node >= 0 && node < len(r.Logs) {
		writeLog(w, r, node, id, b.At)
	}
}

// writeLog writes the node's log lines around a breach that name the request or a stop.
func writeLog(w io.Writer, r *experiment.Result, node int, id string, at time.Duration) {
	began := r.Began
	left := maxLogLines
	for scan := bufio.NewScanner(strings.NewReader(r.Logs[node])); scan.Scan() && left > 0; {
		line := scan.Text()
		var head struct {
			Time time.Time `json:"time"`
			Code string    `json:"code"`
		}
		if json.Unmarshal([]byte(line), &head) != nil {
			continue
		}
		when := head.Time.Sub(began)
		named := strings.Contains(line, id)
		stop := strings.HasPrefix(head.Code, "drain_") || head.Code == "drain" || head.Code == "end" || head.Code == "start"
		if named || stop && when > at-timelineWindow && when < at+timelineWindow {
			_, _ = fmt.Fprintf(w, "  %9.3f node %d's log: %s\n", when.Seconds(), node, line)
			left--
		}
	}
}
