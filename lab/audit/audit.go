// Package audit judges a run by the four rules, from what clients, servers and discovery saw and nothing that a node
// says of itself. It is pure: records come in, in any order, and Judge gives every breach.
package audit

import (
	"fmt"
	"sort"
	"time"
)

// At is a moment of the run: a span since its start.
type At = time.Duration

// Ending is what a client saw of one try.
type Ending int

// The endings of a try.
const (
	Served   Ending = iota // 200
	Refused                // 429 or 503: trying again is harmless
	Failed                 // any other answer
	Lost                   // the connection ended, or the wait, with no whole answer
	Left                   // the client went away first
	Unplaced               // no node took a connection
	Cut                    // the lab's own link fault broke the connection
	Crossed                // its connection ended right after it was written: lost only if a server got it
	OnWay                  // the lab's own link still held the request or its answer when the client gave up
)

var endings = [...]string{"served", "refused", "failed", "lost", "left", "unplaced", "cut", "crossed", "on-way"}

// String names the ending.
func (e Ending) String() string { return endings[e] }

// Effect is the kind of a class.
type Effect int

// The effects of a class.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Try is one request that a client sent to a node: a retry is another try of the same operation.
type Try struct {
	ID      string // X-Request-Id
	Op      int    // the operation it belongs to
	Effect  Effect
	Node    int
	Sent    At // its last byte was written
	Expires At // when the client's wait ends
	Ended   At
	Ending  Ending
	Answers int    // whole answers that came for it
	Body    string // the id that the answer's body carries; empty: no body of a server
	Status  int
	Way     time.Duration // what the lab's link added to this try, there and back
}

// Run is one beginning of work at a server.
type Run struct {
	ID     string
	Op     int
	Effect Effect
	Server string
	Pod    int
	At     At
}

// Receipt is one request that a server read whole.
type Receipt struct {
	ID       string
	Node     int
	Server   string
	At       At            // of its first byte, where known
	Deadline time.Duration // that the node passed on; 0: none
}

// Pause is a time for which a node was held up with all rules in force. Answers may be later by as much.
type Pause struct {
	Node     int
	From, To At
}

// Told is a change of the list as a node was told it.
type Told struct {
	Node   int
	Server string
	Closed bool // it drains or is gone; false: it takes work
	At     At
}

// Fall is a cold server that was pushed over.
type Fall struct {
	Server string
	At     At
}

// Stall is a time for which the lab's own link held back what was on its way to a server.
type Stall struct {
	Server   string
	From, To At
}

// Outage is a time in which a node could not act: it was killed, or stopped by the lab. Requests it held then are the
// client's to retry.
type Outage struct {
	Node     int
	From, To At
}

// Limits are the figures of the rules.
type Limits struct {
	Grace time.Duration // from a drain's being told to the last send
	Late  time.Duration // an answer may come so much after the client's wait: the rule's slack and the sockets' 50 ms
	Way   time.Duration // what the lab's own links between nodes and servers may add on one way
}

// Record is everything that was seen.
type Record struct {
	Tries    []Try
	Runs     []Run
	Receipts []Receipt
	Told     []Told
	Falls    []Fall
	Outages  []Outage
	Pauses   []Pause
	Stalls   []Stall
}

// The rules, as breaches name them.
const (
	RuleLost    = "lost"               // taken and never answered
	RuleLate    = "late"               // answered after the client's wait
	RuleAnswers = "answers"            // more than one final answer
	RuleSwapped = "swapped"            // another request's answer, or one that no server made
	RuleAfter   = "sent-after-answer"  // a server got it after its final answer
	RuleTwice   = "twice"              // an effect happened twice
	RuleHarm    = "refused-though-run" // a refusal promised that trying again is harmless, and it is not
	RuleDrain   = "drain"              // a send later than the grace after a drain was told
	RuleCold    = "cold"               // a cold server was pushed over
	RuleGone    = "sent-for-one-gone"  // an attempt began after its client had left
	RuleTime    = "deadline"           // a server was told more time than its client has left
)

// Breach is one breach of a rule.
type Breach struct {
	Rule string `json:"rule"`
	At   At     `json:"at_ns"`
	Text string `json:"text"`
}

const (
	// goneSlack is how long after a client has left an attempt for it may begin.
	goneSlack = 100 * time.Millisecond

	// deadlineSlack is by how much the time that a server is told may exceed what its client has left.
	deadlineSlack = 150 * time.Millisecond
)

// Judge gives all breaches, by time.
func (r *Record) Judge(l Limits) []Breach {
	j := &judge{r: r, l: l}
	j.tries()
	j.effects()
	j.after()
	j.gone()
	j.deadlines()
	j.drains()
	for _, f := range r.Falls {
		j.breach(RuleCold, f.At, "%s was pushed over while cold", f.Server)
	}
	sort.SliceStable(j.out, func(a, b int) bool { return j.out[a].At < j.out[b].At })
	return j.out
}

type judge struct {
	r   *Record
	l   Limits
	out []Breach
}

func (j *judge) breach(rule string, at At, format string, args ...any) {
	j.out = append(j.out, Breach{rule, at, fmt.Sprintf(format, args...)})
}

// outage tells whether a node could not act at some time between two moments.
func (j *judge) outage(node int, from, to At) bool {
	for _, o := range j.r.Outages {
		if o.Node == node && o.From <= to && o.To >= from {
			return true
		}
	}
	return false
}

// overlap is the length of what two spans share.
func overlap(from1, to1, from2, to2 At) time.Duration { return max(0, min(to1, to2)-max(from1, from2)) }

// paused is how long a node was held up between two moments.
func (j *judge) paused(node int, from, to At) time.Duration {
	sum := time.Duration(0)
	for _, p := range j.r.Pauses {
		if p.Node == node {
			sum += overlap(p.From, p.To, from, to)
		}
	}
	return sum
}

// stalled is for how long the lab held back what was on its way to a server between two moments.
func (j *judge) stalled(server string, from, to At) time.Duration {
	sum := time.Duration(0)
	for _, s := range j.r.Stalls {
		if s.Server == server {
			sum += overlap(s.From, s.To, from, to)
		}
	}
	return sum
}

// gone checks that no attempt begins once its client has left.
func (j *judge) gone() {
	left := map[string]*Try{}
	for i := range j.r.Tries {
		if t := &j.r.Tries[i]; t.Ending == Left {
			left[t.ID] = t
		}
	}
	for _, c := range j.r.Receipts {
		t := left[c.ID]
		if t == nil {
			continue
		}
		if over := c.At - t.Ended; over > goneSlack+j.l.Way+t.Way+j.paused(c.Node, t.Ended, c.At)+j.stalled(c.Server, t.Ended, c.At) && !j.outage(c.Node, t.Sent, c.At) {
			j.breach(RuleGone, c.At, "%s came to %s from node %d %v after its client had left", c.ID, c.Server, c.Node, over)
		}
	}
}

// deadlines checks that no server is told more time than its client has left.
func (j *judge) deadlines() {
	tries := make(map[string]*Try, len(j.r.Tries))
	for i := range j.r.Tries {
		tries[j.r.Tries[i].ID] = &j.r.Tries[i]
	}
	for _, c := range j.r.Receipts {
		t := tries[c.ID]
		if t == nil || c.Deadline <= 0 {
			continue
		}
		allowed := deadlineSlack + j.l.Way + t.Way + j.stalled(c.Server, t.Sent, c.At)
		if over := c.At + c.Deadline - t.Expires; over > allowed && !j.outage(c.Node, t.Sent, c.At) {
			j.breach(RuleTime, c.At, "%s told %s to work %v beyond its client's wait", c.ID, c.Server, over)
		}
	}
}

// tries checks that every try has one whole answer of its own, in time.
func (j *judge) tries() {
	for i := range j.r.Tries {
		t := &j.r.Tries[i]
		if t.Answers > 1 {
			j.breach(RuleAnswers, t.Ended, "%s got %d answers from node %d", t.ID, t.Answers, t.Node)
		}
		switch t.Ending {
		case Lost:
			if !j.outage(t.Node, t.Sent, t.Ended) {
				j.breach(RuleLost, t.Ended, "%s was sent to node %d at %v and never answered", t.ID, t.Node, t.Sent)
			}
		case Served, Refused, Failed:
			if t.Ended > t.Expires+j.l.Late+t.Way+j.paused(t.Node, t.Sent, t.Ended) && !j.outage(t.Node, t.Sent, t.Ended) {
				j.breach(RuleLate, t.Ended, "%s was answered %v after the client's wait", t.ID, t.Ended-t.Expires)
			}
		}
		if t.Ending == Served && t.Body != t.ID {
			j.breach(RuleSwapped, t.Ended, "%s was served the answer of %q", t.ID, t.Body)
		}
	}
}

// effects checks that nothing ran twice that must not, and that refusals were harmless.
func (j *judge) effects() {
	first := map[int]*Run{}
	byID := map[string]*Run{}
	for i := range j.r.Runs {
		run := &j.r.Runs[i]
		byID[run.ID] = run
		if run.Effect == Safe {
			continue
		}
		if was := first[run.Op]; was != nil {
			j.breach(RuleTwice, run.At, "operation %d ran as %s at %s, and before as %s at %s", run.Op, run.ID, run.Server,
				was.ID, was.Server)
			continue
		}
		first[run.Op] = run
	}
	for i := range j.r.Tries {
		t := &j.r.Tries[i]
		if t.Ending == Refused && t.Effect == Unsafe && byID[t.ID] != nil {
			j.breach(RuleHarm, t.Ended, "%s was refused after it had begun at %s", t.ID, byID[t.ID].Server)
		}
	}
}

// after checks that nothing is sent for a request that has its final answer.
func (j *judge) after() {
	ended := make(map[string]*Try, len(j.r.Tries))
	forwarded := map[string]bool{}
	for _, c := range j.r.Receipts {
		forwarded[c.ID] = true
	}
	for i := range j.r.Tries {
		t := &j.r.Tries[i]
		ended[t.ID] = t
		if t.Ending == Crossed && forwarded[t.ID] && !j.outage(t.Node, t.Sent, t.Ended) {
			j.breach(RuleLost, t.Ended, "%s was read by node %d, sent on, and never answered", t.ID, t.Node)
		}
	}
	for _, c := range j.r.Receipts {
		t := ended[c.ID]
		if t == nil || t.Ending == Left || t.Ending == Crossed || t.Ending == Cut || t.Ending == Lost || t.Ending == OnWay {
			continue // there was no final answer, or it is not known when the node learnt that the client is gone
		}
		if c.At > t.Ended+j.l.Late+j.l.Way+j.paused(c.Node, t.Sent, c.At)+j.stalled(c.Server, t.Ended, c.At) && !j.outage(c.Node, t.Sent, c.At) {
			j.breach(RuleAfter, c.At, "%s came to %s %v after its final answer", c.ID, c.Server, c.At-t.Ended)
		}
	}
}

// drains checks that no server got anything new later than the grace after a node was told that it drains or is gone.
func (j *judge) drains() {
	type key struct {
		node   int
		server string
	}
	told := map[key][]Told{}
	for _, t := range j.r.Told {
		k := key{t.Node, t.Server}
		told[k] = append(told[k], t)
	}
	for _, list := range told {
		sort.SliceStable(list, func(a, b int) bool { return list[a].At < list[b].At })
	}
	for _, c := range j.r.Receipts {
		var last *Told
		for i, t := range told[key{c.Node, c.Server}] {
			if t.At <= c.At {
				last = &told[key{c.Node, c.Server}][i]
			}
		}
		if last == nil || !last.Closed {
			continue
		}
		if c.At > last.At+j.l.Grace+j.l.Late+j.l.Way+j.paused(c.Node, last.At, c.At)+j.stalled(c.Server, last.At, c.At) && !j.outage(c.Node, last.At, c.At) {
			j.breach(RuleDrain, c.At, "%s came to %s from node %d %v after its drain was told", c.ID, c.Server, c.Node,
				c.At-last.At)
		}
	}
}
