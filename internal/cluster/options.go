// Package cluster connects the nodes of a cluster, as configured in section [cluster] of the operator file. It has a UDP socket for
// short messages, TCP connections at the same address for full states and liveness streams, and the goroutine that owns the membership
// core. It makes no membership decisions itself.
//
// Messages are neither signed nor encrypted, so the link must run on a trusted network (see docs/operating/cluster.md).
package cluster

import (
	"time"

	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// Options is the section [cluster] of the operator file.
type Options struct {
	Cluster          string            `toml:"cluster"`   // cluster name; messages of other clusters are dropped
	Name             string            `toml:"name"`      // name of this member; default: the node's name
	Listen           string            `toml:"listen"`    // IP address and port, for UDP and TCP
	Advertise        string            `toml:"advertise"` // address at which others reach this member; default: Listen
	Seeds            []string          `toml:"seeds"`     // addresses of members to contact first
	AddressOverrides map[string]string `toml:"addresses"` // by member name: address to use instead of the advertised one
	AcceptNetworks   []string          `toml:"accept"`    // networks whose messages are accepted; default: all
	ProbeInterval    operator.Duration `toml:"period"`    // time between two health probes
	ProbeTimeout     operator.Duration `toml:"timeout"`   // timeout for a direct reply to a probe
	SuspicionTimeout operator.Duration `toml:"suspicion"` // minimum time until a silent member leaves the view
	MaxMembers       int               `toml:"members"`   // maximum number of members, including unreachable ones
	MaxMessageRate   int               `toml:"rate"`      // maximum datagrams accepted per second
	QuotaMembers     map[string]string `toml:"shares"`    // by name: advertised addresses of all members that divide the quota; empty: quota off
	Overload         bool              `toml:"overload"`  // enables fleet admission control: under overload, higher priorities are admitted first
	LeaseTTL         operator.Duration `toml:"lease"`     // how long a lease on quota units lasts without a renewal
}

const (
	// With these defaults a member that is paused for two seconds stays in the view, and a killed member leaves it within five
	// seconds (docs/members.md).
	defaultProbeInterval    = 250 * time.Millisecond
	defaultProbeTimeout     = 150 * time.Millisecond
	defaultSuspicionTimeout = 2500 * time.Millisecond

	// maxMembers limits the memory for the state of the other members, about 600 bytes each.
	maxMembers = 1024

	// defaultMessageRate is three times the rate, in datagrams per second, at which a member in a cluster of a thousand receives
	// messages after most of the other members were lost.
	defaultMessageRate = 2000

	// defaultLeaseTTL is the default duration of a lease. A lease is renewed four times within it, so three of four renewals may be
	// lost. A partitioned member may use its units for this time, and its lessors may use them after a time that is 10% longer.
	defaultLeaseTTL = 4 * time.Second
)

// address returns the address at which other members reach this one.
func (o *Options) address() string {
	if o.Advertise != "" {
		return o.Advertise
	}
	return o.Listen
}

// defaultOptions returns the options before the section is read.
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
			Summary: "cluster membership of the nodes, and the quota and overload control based on it",
			New:     func() any { return defaultOptions() },
			Check:   func(options any) []operator.Diagnostic { return options.(*Options).validate() },
		},
		Build: build,
	}
}
