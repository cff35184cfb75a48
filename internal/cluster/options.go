// Package cluster links the nodes of a cluster, [cluster] in the operator file: one UDP socket for short messages, TCP connections
// at the same address for full states, and the goroutine that owns the membership core. It decides nothing itself.
//
// Messages are neither signed nor encrypted: the link belongs on a trusted network, as docs/operating/cluster.md says too.
package cluster

import (
	"time"

	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// Options are the section [cluster].
type Options struct {
	Cluster          string            `toml:"cluster"`   // its name: messages of other clusters are dropped
	Name             string            `toml:"name"`      // of this member; default: the node's
	Listen           string            `toml:"listen"`    // address and port, UDP and TCP
	Advertise        string            `toml:"advertise"` // how others reach this member; default: Listen
	Seeds            []string          `toml:"seeds"`     // addresses of members to contact first
	AddressOverrides map[string]string `toml:"addresses"` // by member: its address as seen from here, where it differs
	AcceptNetworks   []string          `toml:"accept"`    // networks whose messages are accepted; default: all
	ProbeInterval    operator.Duration `toml:"period"`    // between two health checks
	ProbeTimeout     operator.Duration `toml:"timeout"`   // for a direct answer
	SuspicionTimeout operator.Duration `toml:"suspicion"` // the least until a silent member leaves the view
	MaxMembers       int               `toml:"members"`   // unreachable ones included
	MaxMessageRate   int               `toml:"rate"`      // datagrams accepted in a second
	QuotaMembers     map[string]string `toml:"shares"`    // by name: advertised addresses of all members that divide the quota; empty: off
	Overload         bool              `toml:"overload"`  // under overload the fleet admits the requests of the highest priority first
	LeaseTTL         operator.Duration `toml:"lease"`     // how long a part of the quota lasts without a renewal
}

const (
	// By default a member that is paused for two seconds stays in the view, and a killed one leaves it within five
	// (docs/members.md).
	defaultProbeInterval    = 250 * time.Millisecond
	defaultProbeTimeout     = 150 * time.Millisecond
	defaultSuspicionTimeout = 2500 * time.Millisecond

	// maxMembers bounds what a member holds of the others, some 600 bytes each.
	maxMembers = 1024

	// defaultMessageRate is three times what a member of a thousand receives while most of the others are lost.
	defaultMessageRate = 2000

	// defaultLeaseTTL is renewed four times in its span, so three of four messages may be lost. A member that is cut off keeps
	// its part of the quota for so long; the others have it a tenth later.
	defaultLeaseTTL = 4 * time.Second
)

// address is how others reach this member.
func (o *Options) address() string {
	if o.Advertise != "" {
		return o.Advertise
	}
	return o.Listen
}

func defaultOptions() *Options {
	return &Options{
		Cluster:          "tackhub",
		ProbeInterval:    operator.Duration(defaultProbeInterval),
		ProbeTimeout:     operator.Duration(defaultProbeTimeout),
		SuspicionTimeout: operator.Duration(defaultSuspicionTimeout),
		MaxMembers:       maxMembers,
		MaxMessageRate:   defaultMessageRate,
		LeaseTTL:         operator.Duration(defaultLeaseTTL),
	}
}

// Subsystem returns the definition of the subsystem.
func Subsystem() subsystem.Definition {
	return subsystem.Definition{
		Section: operator.Section{
			Name:    "cluster",
			Summary: "the nodes know of one another: members, and who is there",
			New:     func() any { return defaultOptions() },
			Check:   func(options any) []operator.Diagnostic { return options.(*Options).validate() },
		},
		Build: build,
	}
}
