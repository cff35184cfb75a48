package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tackhub.example/tackhub/internal/membership"
)

// statusFingerprint returns a text of all fields whose change makes --watch print again. It does not include ages, which change all
// the time.
func statusFingerprint(s Status) string {
	var b strings.Builder
	fmt.Fprint(&b, s.View.Number, s.Connectivity, s.State)
	for _, m := range s.Members {
		fmt.Fprint(&b, m.Name, m.Generation, m.State, m.Link, m.OwnConnectivity)
	}
	return b.String()
}

// membersTable formats the status for `tackhub members`.
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
		b.WriteString(formatQuota(s.Quota))
	}
	if s.RejectedMembers > 0 {
		fmt.Fprintf(&b, "%d times a member was not taken in for want of room\n", s.RejectedMembers)
	}
	return b.String()
}

// formatQuota formats the quota status as one line.
func formatQuota(q *QuotaStatus) string {
	var b strings.Builder
	evenFraction := 1 / float64(max(1, q.Members))
	fmt.Fprintf(&b, "share %.4f of the whole, %.4f would be even; own units: %d leased, %d sole", q.Fraction, evenFraction, q.UnitsLeased, q.UnitsOfEndedLessors)
	if len(q.LapsedLessors) > 0 {
		fmt.Fprintf(&b, "; lapsed, guarded by %s", strings.Join(q.LapsedLessors, " "))
	}
	if len(q.InheritedFrom) > 0 {
		fmt.Fprintf(&b, "; inherited from %s", strings.Join(q.InheritedFrom, " "))
	}
	b.WriteByte('\n')
	return b.String()
}

// evidence returns the reasons for a member's state.
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

// formatReporters lists reporters with the age of their reports.
func formatReporters(ages map[string]int64) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(ages)) {
		out = append(out, name+" "+formatMillis(ages[name])+" ago")
	}
	return strings.Join(out, ", ")
}

// overloadTable formats the load of the fleet for `tackhub overload`.
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

// formatMillis formats a duration in milliseconds, rounded to a tenth of a second. It returns "never" if ms is negative.
func formatMillis(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
