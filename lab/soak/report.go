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

// timelineWindow is the time before and after a breach that its time line covers.
const timelineWindow = 1500 * time.Millisecond

// maxLogLines limits the log lines of the node in one time line.
const maxLogLines = 40

// ShutdownReport is the log line that a node writes at the end of a planned stop.
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

// Figures are the totals of one or more runs.
type Figures struct {
	Runs             int
	Stops            int
	KilledStops      int // stops that ended with SIGKILL
	InFlightAtSignal int // requests in flight when SIGTERM arrived
	ReadAfterSignal  int // requests read after SIGTERM
	Answered         int
	Rejected         int
	Unanswered       int
	Attempts         int
	RacedCloses      int
	Crashes          int
	Breaches         map[string]int
	KillMargins      []int // milliseconds from the last answer of each stop to the earliest SIGKILL, sorted
}

// shutdownReports parses the reports of planned stops from the nodes' logs.
func shutdownReports(logs []string) []ShutdownReport {
	var reports []ShutdownReport
	for _, log := range logs {
		for line := range strings.Lines(log) {
			if !strings.Contains(line, `"code":"drain_end"`) {
				continue
			}
			var report ShutdownReport
			if json.Unmarshal([]byte(line), &report) == nil {
				reports = append(reports, report)
			}
		}
	}
	return reports
}

// Summarize computes the figures of one run. kill is the earliest time after SIGTERM at which SIGKILL may be sent.
func Summarize(r *experiment.Result, clients *Clients, kill time.Duration) Figures {
	f := Figures{Runs: 1, Stops: len(clients.ObservedStops()), KilledStops: r.KilledStops, RacedCloses: clients.RacedCloses(),
		Attempts: len(r.Record.Attempts), Crashes: r.Figures.Crashes, Breaches: r.BreachesByRule}
	for _, report := range shutdownReports(r.Logs) {
		f.InFlightAtSignal += report.InFlightAtSignal
		f.ReadAfterSignal += report.ReadAfterSignal
		f.Answered += report.Answered
		f.Rejected += report.Rejected
		f.Unanswered += report.Unanswered
		f.KillMargins = append(f.KillMargins, int(kill.Milliseconds())-report.LatestMS)
	}
	sort.Ints(f.KillMargins)
	return f
}

// Add adds the totals of other runs.
func (f *Figures) Add(other Figures) {
	if f.Breaches == nil {
		f.Breaches = map[string]int{}
	}
	f.Runs += other.Runs
	f.Stops += other.Stops
	f.KilledStops += other.KilledStops
	f.InFlightAtSignal += other.InFlightAtSignal
	f.ReadAfterSignal += other.ReadAfterSignal
	f.Answered += other.Answered
	f.Rejected += other.Rejected
	f.Unanswered += other.Unanswered
	f.Attempts += other.Attempts
	f.RacedCloses += other.RacedCloses
	f.Crashes += other.Crashes
	for rule, n := range other.Breaches {
		f.Breaches[rule] += n
	}
	f.KillMargins = append(f.KillMargins, other.KillMargins...)
	sort.Ints(f.KillMargins)
}

// String returns the figures in one line.
func (f Figures) String() string {
	minMargin, p1Margin := "none", "none"
	if n := len(f.KillMargins); n > 0 {
		minMargin, p1Margin = fmt.Sprintf("%d ms", f.KillMargins[0]), fmt.Sprintf("%d ms", f.KillMargins[n/100])
	}
	rejectedFraction := 0.0
	if completed := f.Answered + f.Rejected; completed > 0 {
		rejectedFraction = float64(f.Rejected) / float64(completed)
	}
	return fmt.Sprintf("runs %d stops %d killed %d in-flight %d read-after %d refused-share %.3f unanswered %d latest-answer-before-kill min %s p1 %s tries %d crossed %d crashes %d breaks %v",
		f.Runs, f.Stops, f.KilledStops, f.InFlightAtSignal, f.ReadAfterSignal, rejectedFraction, f.Unanswered, minMargin, p1Margin, f.Attempts,
		f.RacedCloses, f.Crashes, f.Breaches)
}

// WriteTimeline writes the events around a breach that clients, servers and the node recorded.
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
	for _, attempt := range r.Record.Attempts {
		if attempt.ID == id {
			node = attempt.Node
			add(attempt.Sent, "client: %s (%s) sent to node %d, times out at %.3f", attempt.ID, attempt.Effect, attempt.Node, attempt.Deadline.Seconds())
			if attempt.Unreachable > 0 {
				add(attempt.Sent, "client: messages of %s reached no process for %v", attempt.ID, attempt.Unreachable)
			}
			add(attempt.Ended, "client: %s ended: %v, status %d", attempt.ID, attempt.Outcome, attempt.Status)
		}
	}
	for _, receipt := range r.Record.Receipts {
		if receipt.ID == id {
			add(receipt.At, "server %s: received %s from node %d with a time limit of %v", receipt.Server, receipt.ID, receipt.Node,
				receipt.Deadline)
		}
	}
	for _, execution := range r.Record.Executions {
		if execution.ID == id {
			add(execution.At, "server %s: started %s", execution.Server, execution.ID)
		}
	}
	for _, pause := range r.Record.Pauses {
		if pause.Node == node && pause.From <= b.At && pause.To >= b.At-timelineWindow {
			add(pause.From, "node %d: suspended until %.3f", pause.Node, pause.To.Seconds())
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at < lines[j].at })
	for _, line := range lines {
		_, _ = fmt.Fprintf(w, "  %9.3f %s\n", line.at.Seconds(), line.text)
	}
	if node >= 0 && node < len(r.Logs) {
		writeLog(w, r, node, id, b.At)
	}
}

// writeLog writes the node's log lines that contain the request ID, and those about starts and stops within timelineWindow of
// a breach.
func writeLog(w io.Writer, r *experiment.Result, node int, id string, breachAt time.Duration) {
	began := r.Began
	linesLeft := maxLogLines
	for scan := bufio.NewScanner(strings.NewReader(r.Logs[node])); scan.Scan() && linesLeft > 0; {
		line := scan.Text()
		var head struct {
			Time time.Time `json:"time"`
			Code string    `json:"code"`
		}
		if json.Unmarshal([]byte(line), &head) != nil {
			continue
		}
		loggedAt := head.Time.Sub(began)
		namesRequest := strings.Contains(line, id)
		aboutStop := strings.HasPrefix(head.Code, "drain_") || head.Code == "drain" || head.Code == "end" || head.Code == "coap_end" || head.Code == "start"
		if namesRequest || aboutStop && loggedAt > breachAt-timelineWindow && loggedAt < breachAt+timelineWindow {
			_, _ = fmt.Fprintf(w, "  %9.3f node %d's log: %s\n", loggedAt.Seconds(), node, line)
			linesLeft--
		}
	}
}
