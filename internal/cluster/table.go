package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tackhub.example/tackhub/internal/membership"
)

// statusFingerprint stands for what --watch waits for a change of: no ages.
func statusFingerprint(s Status) string {
	var b strings.Builder
	fmt.Fprint(&b, s.View.Number, s.Connectivity, s.State)
	for _, m := range s.Members {
		fmt.Fprint(&b, m.Name, m.Generation, m.State, m.Link, m.OwnConnectivity)
	}
	return b.String()
}

// membersTable returns the status as text.
func membersTable(s Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s, %s, distrust of own verdicts %d of 4, incarnation %d\n", s.Name, s.State, s.Connectivity, s.LocalHealth, s.Incarnation)
	fmt.Fprintf(&b, "view %d, %d members: %s\n", s.View.Number, len(s.View.Members), strings.Join(s.View.Members, " "))
	fmt.Fprintf(&b, "%-16s %-12s %8s %-8s %8s %9s  %s\n", "member", "state", "for", "link", "heard", "answered", "evidence")
	for _, m := range s.Members {
		fmt.Fprintf(&b, "%-16s %-12s %8s %-8s %8s %9s  %s\n", m.Name, m.State, formatMillis(m.StateAge), m.Link,
			formatMillis(m.SinceReceived), formatMillis(m.SinceAcked), evidence(m))
	}
	if s.Quota != nil {
		b.WriteString(quotaLine(s.Quota))
	}
	if s.RejectedMembers > 0 {
		fmt.Fprintf(&b, "%d times a member was not taken in for want of room\n", s.RejectedMembers)
	}
	return b.String()
}

func quotaLine(q *QuotaStatus) string {
	var b strings.Builder
	even := 1 / float64(max(1, q.Members))
	fmt.Fprintf(&b, "share %.4f of the whole, %.4f would be even; own units: %d leased, %d sole", q.Fraction, even, q.UnitsLeased, q.UnitsOfEndedLessors)
	if len(q.LapsedLessors) > 0 {
		fmt.Fprintf(&b, "; lapsed, guarded by %s", strings.Join(q.LapsedLessors, " "))
	}
	if len(q.InheritedFrom) > 0 {
		fmt.Fprintf(&b, "; inherited from %s", strings.Join(q.InheritedFrom, " "))
	}
	b.WriteByte('\n')
	return b.String()
}

// evidence says why a member has its state.
func evidence(m membership.Member) string {
	var out []string
	if len(m.SuspectedBy) > 0 {
		out = append(out, "missed by "+formatReporters(m.SuspectedBy))
	}
	if len(m.HeardBy) > 0 {
		out = append(out, "heard by "+formatReporters(m.HeardBy))
	}
	if m.OwnConnectivity.Isolated() {
		out = append(out, "says of itself: "+m.OwnConnectivity.String())
	}
	if m.LossCount > 1 {
		out = append(out, fmt.Sprintf("lost %d times", m.LossCount))
	}
	if m.DampedFor > 0 {
		out = append(out, "kept out for "+formatMillis(m.DampedFor)+" more")
	}
	if m.PreviousGeneration > 0 {
		out = append(out, "another process before it")
	}
	return strings.Join(out, "; ")
}

// formatReporters lists members with how long ago each reported.
func formatReporters(ages map[string]int64) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(ages)) {
		out = append(out, name+" "+formatMillis(ages[name])+" ago")
	}
	return strings.Join(out, ", ")
}

// overloadTable returns the fleet's load as text.
func overloadTable(s *OverloadStatus) string {
	var b strings.Builder
	if s.Active {
		fmt.Fprintf(&b, "more work than the servers can do, for %s: %.0f requests a second are let in\n", formatMillis(s.Duration), s.Limit)
	} else {
		b.WriteString("the servers can do what is asked for\n")
	}
	fmt.Fprintf(&b, "by the figures of %d members, %.0f%% of the view\n", s.Members, 100*s.Coverage)
	fmt.Fprintf(&b, "%.0f%% of all attempts fail; %.0f%% of the budget for further ones is free\n", 100*s.FailureRatio, 100*s.RetryBudget)
	fmt.Fprintf(&b, "%-20s %10s %10s %8s\n", "class", "asked /s", "done /s", "let in")
	for _, class := range slices.Sorted(maps.Keys(s.Requested)) {
		fmt.Fprintf(&b, "%-20s %10.0f %10.0f %7.0f%%\n", class, s.Requested[class], s.Accepted[class], 100*s.Admit[class])
	}
	return b.String()
}

// formatMillis returns a span of milliseconds to a tenth of a second; "never" for -1.
func formatMillis(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
