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

	// minSuspicionIntervals is the least suspicion timeout in probe intervals: a probe with its helpers takes two, and a shorter
	// timeout would end before a wrong suspicion is refuted.
	minSuspicionIntervals = 4
	maxSuspicionTimeout   = time.Hour

	// minLeaseIntervals is the least lease in probe intervals: some renewals with their answers must fit into it.
	minLeaseIntervals = 4
	maxLeaseTTL       = time.Minute

	minMessageRate = 10
	maxMessageRate = 1_000_000
)

// validator collects what is wrong with options.
type validator struct{ diagnostics []operator.Diagnostic }

// reject records a fault of a key if a condition holds.
func (v *validator) reject(condition bool, key, format string, args ...any) {
	if condition {
		v.diagnostics = append(v.diagnostics, operator.Diagnostic{Key: key, Message: fmt.Sprintf(format, args...)})
	}
}

// validate returns what is wrong with the options.
func (o *Options) validate() []operator.Diagnostic {
	v := &validator{}
	v.reject(o.Cluster == "", "cluster", "must not be empty")
	v.reject(o.Name != "" && !validName(o.Name), "name", "%q: up to 48 letters, digits, dots, dashes and underscores are wanted", o.Name)
	o.validateOwnAddress(v)
	o.validateAddresses(v)
	o.validateQuota(v)
	o.validateLimits(v)
	return v.diagnostics
}

func (o *Options) validateOwnAddress(v *validator) {
	listen, err := netip.ParseAddrPort(o.Listen)
	v.reject(err != nil, "listen", "%q is no IP address with a port", o.Listen)
	if o.Advertise == "" {
		unreachable := err == nil && (listen.Addr().IsUnspecified() || listen.Port() == 0)
		v.reject(unreachable, "advertise", "is needed: nobody can reach %s", o.Listen)
		return
	}
	advertise, err := netip.ParseAddrPort(o.Advertise)
	unreachable := err != nil || advertise.Port() == 0 || advertise.Addr().IsUnspecified()
	v.reject(unreachable, "advertise", "%q is no IP address with a port that others could reach", o.Advertise)
}

func (o *Options) validateAddresses(v *validator) {
	for i, seed := range o.Seeds {
		v.reject(!dialable(seed), fmt.Sprintf("seeds[%d]", i), "%q is no IP address with a port", seed)
	}
	for name, address := range o.AddressOverrides {
		v.reject(!dialable(address) || !validName(name), "addresses."+name, "%q is no member's name with an IP address and a port", address)
	}
	for i, network := range o.AcceptNetworks {
		_, err := netip.ParsePrefix(network)
		v.reject(err != nil, fmt.Sprintf("accept[%d]", i), "%q is no network such as 10.0.0.0/8", network)
	}
}

func (o *Options) validateQuota(v *validator) {
	n := len(o.QuotaMembers)
	v.reject(n == 1 || n > o.MaxMembers, "shares", "%d members cannot share, 2 to %d can", n, o.MaxMembers)
	for name, address := range o.QuotaMembers {
		v.reject(!dialable(address) || !validName(name), "shares."+name, "%q is no member's name with the address that it advertises", address)
	}
}

func (o *Options) validateLimits(v *validator) {
	interval := o.ProbeInterval.Std()
	v.reject(interval < minProbeInterval || interval > maxProbeInterval, "period", "must be %v to %v", minProbeInterval, maxProbeInterval)
	v.reject(o.ProbeTimeout.Std() < time.Millisecond || o.ProbeTimeout > o.ProbeInterval, "timeout", "must be 1ms to the period, %v", interval)
	v.reject(o.SuspicionTimeout < minSuspicionIntervals*o.ProbeInterval, "suspicion", "must be at least four periods, %v", minSuspicionIntervals*interval)
	v.reject(o.SuspicionTimeout.Std() > maxSuspicionTimeout, "suspicion", "must be at most 1h")
	v.reject(o.LeaseTTL < minLeaseIntervals*o.ProbeInterval || o.LeaseTTL.Std() > maxLeaseTTL, "lease", "must be four periods, %v, to 1m", minLeaseIntervals*interval)
	v.reject(o.MaxMembers < 2 || o.MaxMembers > maxMembers, "members", "must be 2 to %d", maxMembers)
	v.reject(o.MaxMessageRate < minMessageRate || o.MaxMessageRate > maxMessageRate, "rate", "must be %d to %d", minMessageRate, maxMessageRate)
}

// dialable reports whether a text is an IP address with a port.
func dialable(s string) bool { return s != "" && validAddress(s) }
