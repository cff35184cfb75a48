package cluster

import (
	"fmt"
	"net/netip"
	"time"

	"tackhub.example/tackhub/internal/operator"
)

const (
	minProbeInterval = 50 * time.Millisecond
	maxProbeInterval = 10 * time.Second

	// minSuspicionIntervals is the minimum suspicion timeout in probe intervals. A probe with indirect probes takes two intervals; a
	// shorter timeout could expire before a false suspicion is refuted.
	minSuspicionIntervals = 4
	maxSuspicionTimeout   = time.Hour

	// minLeaseIntervals is the minimum lease in probe intervals, so that several renewals and their grants fit into one lease.
	minLeaseIntervals = 4
	maxLeaseTTL       = time.Minute

	minMessageRate = 10
	maxMessageRate = 1_000_000
)

// validator collects the errors found in options.
type validator struct{ diagnostics []operator.Diagnostic }

// rejectIf adds an error for a key if the condition is true.
func (v *validator) rejectIf(condition bool, key, format string, args ...any) {
	if condition {
		v.diagnostics = append(v.diagnostics, operator.Diagnostic{Key: key, Message: fmt.Sprintf(format, args...)})
	}
}

// validate returns the errors found in the options.
func (o *Options) validate() []operator.Diagnostic {
	v := &validator{}
	v.rejectIf(o.Cluster == "", "cluster", "must not be empty")
	v.rejectIf(o.Name != "" && !validName(o.Name), "name", "%q is not a valid name: must be up to 48 letters, digits, dots, dashes and underscores, the first a letter or digit", o.Name)
	o.validateOwnAddress(v)
	o.validateAddresses(v)
	o.validateQuota(v)
	o.validateLimits(v)
	return v.diagnostics
}

func (o *Options) validateOwnAddress(v *validator) {
	listen, err := netip.ParseAddrPort(o.Listen)
	v.rejectIf(err != nil, "listen", "%q is not an IP address with a port", o.Listen)
	if o.Advertise == "" {
		unreachable := err == nil && (listen.Addr().IsUnspecified() || listen.Port() == 0)
		v.rejectIf(unreachable, "advertise", "must be set: other members cannot reach the listen address %s", o.Listen)
		return
	}
	advertise, err := netip.ParseAddrPort(o.Advertise)
	unreachable := err != nil || advertise.Port() == 0 || advertise.Addr().IsUnspecified()
	v.rejectIf(unreachable, "advertise", "%q is not an IP address with a port that other members can reach", o.Advertise)
}

func (o *Options) validateAddresses(v *validator) {
	for i, seed := range o.Seeds {
		v.rejectIf(!dialable(seed), fmt.Sprintf("seeds[%d]", i), "%q is not an IP address with a port", seed)
	}
	for name, address := range o.AddressOverrides {
		v.rejectIf(!dialable(address) || !validName(name), "addresses."+name, "%q: want a valid member name as key and an IP address with a port as value", address)
	}
	for i, network := range o.AcceptNetworks {
		_, err := netip.ParsePrefix(network)
		v.rejectIf(err != nil, fmt.Sprintf("accept[%d]", i), "%q is not a network such as 10.0.0.0/8", network)
	}
}

func (o *Options) validateQuota(v *validator) {
	n := len(o.QuotaMembers)
	v.rejectIf(n == 1 || n > o.MaxMembers, "shares", "%d members are listed, must be 2 to %d", n, o.MaxMembers)
	for name, address := range o.QuotaMembers {
		v.rejectIf(!dialable(address) || !validName(name), "shares."+name, "%q: want a valid member name as key and the address that it advertises as value", address)
	}
}

func (o *Options) validateLimits(v *validator) {
	interval := o.ProbeInterval.Std()
	v.rejectIf(interval < minProbeInterval || interval > maxProbeInterval, "period", "must be %v to %v, got %v", minProbeInterval, maxProbeInterval, interval)
	v.rejectIf(o.ProbeTimeout.Std() < time.Millisecond || o.ProbeTimeout > o.ProbeInterval, "timeout", "must be 1ms to the period (%v), got %v", interval, o.ProbeTimeout.Std())
	v.rejectIf(o.SuspicionTimeout < minSuspicionIntervals*o.ProbeInterval, "suspicion", "must be at least four periods (%v), got %v", minSuspicionIntervals*interval, o.SuspicionTimeout.Std())
	v.rejectIf(o.SuspicionTimeout.Std() > maxSuspicionTimeout, "suspicion", "must be at most 1h, got %v", o.SuspicionTimeout.Std())
	v.rejectIf(o.LeaseTTL < minLeaseIntervals*o.ProbeInterval || o.LeaseTTL.Std() > maxLeaseTTL, "lease", "must be four periods (%v) to 1m, got %v", minLeaseIntervals*interval, o.LeaseTTL.Std())
	v.rejectIf(o.MaxMembers < 2 || o.MaxMembers > maxMembers, "members", "must be 2 to %d, got %d", maxMembers, o.MaxMembers)
	v.rejectIf(o.MaxMessageRate < minMessageRate || o.MaxMessageRate > maxMessageRate, "rate", "must be %d to %d, got %d", minMessageRate, maxMessageRate, o.MaxMessageRate)
}

// dialable reports whether s is an IP address with a nonzero port.
func dialable(s string) bool { return s != "" && validAddress(s) }
