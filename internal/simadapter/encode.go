package simadapter

import (
	"fmt"

	"tackhub.example/tackhub/balancer"
)

// Encode turns an action into its wire form. The simulator has no uploads, write deadlines, fleet
// limits or upgrades: these have no form on its wire.
func Encode(a balancer.Action) any {
	switch a := a.(type) {
	case balancer.StartAttempt:
		return callOut{"call_out", uint64(a.ID), a.Deadline, string(a.Server)}
	case balancer.CancelAttempt:
		return recall{"recall", uint64(a.ID), a.Attempt}
	case balancer.Reject:
		return jobAction{"busy", uint64(a.ID), a.RetryAfter}
	case balancer.Fail:
		return jobAction{"error", uint64(a.ID), 0}
	case balancer.SetTimer:
		return setTimer{"set_timer", a.Token, a.At}
	case balancer.ProbeLoad:
		return backendAction{"health_check", string(a.Server)}
	case balancer.WatchEndpoints:
		return watch{"stream_changes", true}
	case balancer.BroadcastGossip:
		return tell{"tell", nil, a.Body}
	case balancer.Log:
		return reason{"record", a.Text}
	}
	return reason{"internal_error", fmt.Sprintf("no wire form for %T", a)}
}

// InternalError is the wire form of a node that cannot decide.
func InternalError(text string) any { return reason{"internal_error", text} }
