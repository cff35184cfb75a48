package cluster

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"tackhub.example/tackhub/internal/cli"
	"tackhub.example/tackhub/internal/membership"
)

// watchEvery is how often --watch asks: a view takes a few hundred milliseconds to change.
const watchEvery = 500 * time.Millisecond

// Command is tackhub members.
func MembersCommand() cli.Command {
	var name string
	var asJSON, watch bool
	return cli.Command{Name: "members", Help: "Show what a running node holds of its cluster, over its local socket in $TMPDIR",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&name, "name", "", "the `MEMBER`, where several run with this $TMPDIR")
			f.BoolVar(&asJSON, "json", false, "as JSON")
			f.BoolVar(&watch, "watch", false, "again whenever the view or a state changes, until it is ended")
		},
		Run: func(_ []string, out io.Writer) error {
			path, err := find(name)
			if err != nil {
				return err
			}
			return show(out, path, asJSON, watch)
		}}
}

// OverloadCommand is tackhub overload.
func OverloadCommand() cli.Command {
	var name string
	var asJSON bool
	return cli.Command{Name: "overload", Help: "Show what a running node knows of the whole fleet's load, and what the fleet lets in",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&name, "name", "", "the `MEMBER`, where several run with this $TMPDIR")
			f.BoolVar(&asJSON, "json", false, "as JSON")
		},
		Run: func(_ []string, out io.Writer) error {
			path, err := find(name)
			if err != nil {
				return err
			}
			status, _, err := QueryStatus(path)
			switch {
			case err != nil:
				return err
			case status.Overload == nil:
				return errors.New("overload is off in [cluster]")
			case asJSON:
				return json.NewEncoder(out).Encode(status.Overload)
			}
			_, err = io.WriteString(out, loadTable(status.Overload))
			return err
		}}
}

func loadTable(s *OverloadStatus) string {
	var b strings.Builder
	if s.Active {
		fmt.Fprintf(&b, "more work than the servers can do, for %s: %.0f requests a second are let in\n", ago(s.Duration), s.Limit)
	} else {
		b.WriteString("the servers can do what is asked for\n")
	}
	fmt.Fprintf(&b, "by the figures of %d members, %.0f%% of the view\n%-20s %10s %10s %8s\n", s.Members, 100*s.Coverage, "class", "asked /s", "done /s", "let in")
	fmt.Fprintf(&b, "%.0f%% of all attempts fail; %.0f%% of the budget for further ones is free\n", 100*s.FailureRatio, 100*s.RetryBudget)
	for _, c := range slices.Sorted(maps.Keys(s.Requested)) {
		fmt.Fprintf(&b, "%-20s %10.0f %10.0f %7.0f%%\n", c, s.Requested[c], s.Accepted[c], 100*s.Admit[c])
	}
	return b.String()
}

// find is the socket of the member, or of the only one that runs.
func find(name string) (string, error) {
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		return "", errors.New("$TMPDIR is not set: the node's local socket lies there")
	}
	if name != "" {
		return SocketPath(dir, name), nil
	}
	found, err := filepath.Glob(SocketPath(dir, "*"))
	switch {
	case err != nil:
		return "", err
	case len(found) == 0:
		return "", fmt.Errorf("no member runs with $TMPDIR %s: is [cluster] on?", dir)
	case len(found) > 1:
		return "", fmt.Errorf("%d members run with $TMPDIR %s: name one by --name", len(found), dir)
	}
	return found[0], nil
}

func show(out io.Writer, path string, asJSON, watch bool) error {
	last := ""
	for {
		status, raw, err := QueryStatus(path)
		if err != nil {
			return err
		}
		if mark := essence(status); mark != last || !watch {
			last = mark
			text := string(raw)
			if !asJSON {
				text = table(status)
			}
			if _, err := io.WriteString(out, text); err != nil {
				return err
			}
		}
		if !watch {
			return nil
		}
		time.Sleep(watchEvery)
	}
}

// essence is what --watch waits for a change of: no ages.
func essence(s Status) string {
	var b strings.Builder
	fmt.Fprint(&b, s.View.Number, s.Connectivity, s.State)
	for _, m := range s.Members {
		fmt.Fprint(&b, m.Name, m.Generation, m.State, m.Link, m.OwnConnectivity)
	}
	return b.String()
}

// table is the status for people.
func table(s Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s, %s, distrust of own verdicts %d of 4, incarnation %d\n", s.Name, s.State, s.Connectivity, s.LocalHealth, s.Incarnation)
	fmt.Fprintf(&b, "view %d, %d members: %s\n", s.View.Number, len(s.View.Members), strings.Join(s.View.Members, " "))
	fmt.Fprintf(&b, "%-16s %-12s %8s %-8s %8s %9s  %s\n", "member", "state", "for", "link", "heard", "answered", "evidence")
	for _, m := range s.Members {
		fmt.Fprintf(&b, "%-16s %-12s %8s %-8s %8s %9s  %s\n", m.Name, m.State, ago(m.StateAge), m.Link, ago(m.SinceReceived), ago(m.SinceAcked), evidence(m))
	}
	if h := s.Quota; h != nil {
		fmt.Fprintf(&b, "share %.4f of the whole, %.4f would be even; own units: %d leased, %d sole", h.Fraction, 1/float64(max(1, h.Members)), h.UnitsLeased, h.UnitsSole)
		if len(h.LapsedLessors) > 0 {
			fmt.Fprintf(&b, "; lapsed, guarded by %s", strings.Join(h.LapsedLessors, " "))
		}
		if len(h.InheritedFrom) > 0 {
			fmt.Fprintf(&b, "; inherited from %s", strings.Join(h.InheritedFrom, " "))
		}
		b.WriteByte('\n')
	}
	if s.RejectedMembers > 0 {
		fmt.Fprintf(&b, "%d times a member was not taken in for want of room\n", s.RejectedMembers)
	}
	return b.String()
}

func evidence(m membership.Member) string {
	var out []string
	say := func(what string, by map[string]int64) {
		if len(by) == 0 {
			return
		}
		var who []string
		for _, n := range slices.Sorted(maps.Keys(by)) {
			who = append(who, n+" "+ago(by[n])+" ago")
		}
		out = append(out, what+" "+strings.Join(who, ", "))
	}
	say("missed by", m.SuspectedBy)
	say("heard by", m.HeardBy)
	if m.OwnConnectivity.Isolated() {
		out = append(out, "says of itself: "+m.OwnConnectivity.String())
	}
	if m.LossCount > 1 {
		out = append(out, fmt.Sprintf("lost %d times", m.LossCount))
	}
	if m.DampedFor > 0 {
		out = append(out, "kept out for "+ago(m.DampedFor)+" more")
	}
	if m.PreviousGeneration > 0 {
		out = append(out, "another process before it")
	}
	return strings.Join(out, "; ")
}

func ago(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
