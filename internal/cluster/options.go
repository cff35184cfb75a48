// Package cluster is the link among a cluster's nodes, [cluster] in the operator file: one UDP socket for short messages,
// connections at the same address for full states, and the goroutine that owns the members' core. It decides nothing.
//
// There are no keys and no sign-in: the link belongs on a trusted network, which docs/operating/cluster.md says as well.
package cluster

import (
	"fmt"
	"net/netip"
	"time"

	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// Options are the section [cluster].
type Options struct {
	Cluster          string            `toml:"cluster"`   // its name: messages of others are dropped
	Name             string            `toml:"name"`      // of this member; empty: the node's
	Listen           string            `toml:"listen"`    // UDP and TCP
	Advertise        string            `toml:"advertise"` // how others reach it; empty: listen
	Seeds            []string          `toml:"seeds"`     // addresses to begin with
	AddressOverrides map[string]string `toml:"addresses"` // members' addresses as seen from here, where they differ
	AcceptNetworks   []string          `toml:"accept"`    // networks whose messages are taken; empty: all
	ProbeInterval    operator.Duration `toml:"period"`    // between two probes
	ProbeTimeout     operator.Duration `toml:"timeout"`   // for a direct answer
	SuspicionTimeout operator.Duration `toml:"suspicion"` // the least until a silent member is taken out
	MaxMembers       int               `toml:"members"`   // at the most, lost ones included
	MaxMessageRate   int               `toml:"rate"`      // messages taken in a second
	QuotaMembers     map[string]string `toml:"shares"`    // addresses, as advertised, of all members that share budgets; empty: off
	Overload         bool              `toml:"overload"`  // the fleet lets the dearest work in first while there is too much
	LeaseTTL         operator.Duration `toml:"lease"`     // how long a share lasts without a word from its guard
}

const (
	// The defaults: a member that stands still for two seconds stays in, a killed one is out within five seconds
	// (docs/members.md has the measurements).
	defaultPeriod    = 250 * time.Millisecond
	defaultTimeout   = 150 * time.Millisecond
	defaultSuspicion = 2500 * time.Millisecond

	// mostMembers bounds what a member holds of the others: some 600 bytes each.
	mostMembers = 1024

	// defaultRate is three times what a member with a thousand others around it takes while most of them are lost.
	defaultRate = 2000

	// defaultLease is renewed four times in its span, so that three of four messages may be lost; a member that is cut off has
	// its share for so long, and the others have it a tenth later.
	defaultLease = 4 * time.Second

	leastPeriod, mostPeriod = 50 * time.Millisecond, 10 * time.Second
)

// nameMost bounds a member's name: it is part of a file's name, and stands in every message.
const nameMost = 48

// goodName tells whether a text can be a member's name.
func goodName(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && (i == 0 || c != '.' && c != '-' && c != '_') {
			return false
		}
	}
	return s != "" && len(s) <= nameMost
}

// address is how others reach this member.
func (o *Options) address() string {
	if o.Advertise != "" {
		return o.Advertise
	}
	return o.Listen
}

// Part is the subsystem.
func Subsystem() subsystem.Definition {
	return subsystem.Definition{
		Section: operator.Section{Name: "cluster", Summary: "the nodes know of one another: members, and who is there",
			New: func() any {
				return &Options{Cluster: "tackhub", ProbeInterval: operator.Duration(defaultPeriod), ProbeTimeout: operator.Duration(defaultTimeout),
					SuspicionTimeout: operator.Duration(defaultSuspicion), MaxMembers: mostMembers, MaxMessageRate: defaultRate,
					LeaseTTL: operator.Duration(defaultLease)}
			},
			Check: check},
		Build: build,
	}
}

func check(options any) []operator.Diagnostic {
	o := options.(*Options)
	var out []operator.Diagnostic
	fault := func(key, format string, args ...any) {
		out = append(out, operator.Diagnostic{Key: key, Message: fmt.Sprintf(format, args...)})
	}
	if o.Cluster == "" {
		fault("cluster", "must not be empty")
	}
	if o.Name != "" && !goodName(o.Name) {
		fault("name", "%q: up to 48 letters, digits, dots, dashes and underscores are wanted", o.Name)
	}
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		fault("listen", "%q is no IP address with a port", o.Listen)
	}
	if o.Advertise != "" {
		if a, err := netip.ParseAddrPort(o.Advertise); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			fault("advertise", "%q is no IP address with a port that others could reach", o.Advertise)
		}
	} else if err == nil && (listen.Addr().IsUnspecified() || listen.Port() == 0) {
		fault("advertise", "is needed: nobody can reach %s", o.Listen)
	}
	for i, s := range o.Seeds {
		if a, err := netip.ParseAddrPort(s); err != nil || a.Port() == 0 {
			fault(fmt.Sprintf("seeds[%d]", i), "%q is no IP address with a port", s)
		}
	}
	for name, s := range o.AddressOverrides {
		if a, err := netip.ParseAddrPort(s); err != nil || a.Port() == 0 || !goodName(name) {
			fault("addresses."+name, "%q is no member's name with an IP address and a port", s)
		}
	}
	for i, s := range o.AcceptNetworks {
		if _, err := netip.ParsePrefix(s); err != nil {
			fault(fmt.Sprintf("accept[%d]", i), "%q is no network such as 10.0.0.0/8", s)
		}
	}
	if n := len(o.QuotaMembers); n == 1 || n > o.MaxMembers {
		fault("shares", "%d members cannot share, 2 to %d can", n, o.MaxMembers)
	}
	for name, s := range o.QuotaMembers {
		if !addressForm(s) || s == "" || !goodName(name) {
			fault("shares."+name, "%q is no member's name with the address that it advertises", s)
		}
	}
	return append(out, o.spans()...)
}

// spans are the faults of times and bounds.
func (o *Options) spans() []operator.Diagnostic {
	var out []operator.Diagnostic
	fault := func(bad bool, key, format string, args ...any) {
		if bad {
			out = append(out, operator.Diagnostic{Key: key, Message: fmt.Sprintf(format, args...)})
		}
	}
	period := o.ProbeInterval.Std()
	fault(period < leastPeriod || period > mostPeriod, "period", "must be %v to %v", leastPeriod, mostPeriod)
	fault(o.ProbeTimeout.Std() < time.Millisecond || o.ProbeTimeout > o.ProbeInterval, "timeout", "must be 1ms to the period, %v", period)
	// A probe with its helpers takes two periods; a span below four would end before a wrong suspicion is refuted.
	fault(o.SuspicionTimeout < 4*o.ProbeInterval, "suspicion", "must be at least four periods, %v", 4*period)
	fault(o.SuspicionTimeout.Std() > time.Hour, "suspicion", "must be at most 1h")
	// Some renewals must fit, and each has a way there and back.
	fault(o.LeaseTTL < 4*o.ProbeInterval || o.LeaseTTL.Std() > time.Minute, "lease", "must be four periods, %v, to 1m", 4*period)
	fault(o.MaxMembers < 2 || o.MaxMembers > mostMembers, "members", "must be 2 to %d", mostMembers)
	fault(o.MaxMessageRate < 10 || o.MaxMessageRate > 1_000_000, "rate", "must be 10 to 1000000")
	return out
}
