package simadapter

import (
	"fmt"

	"tackhub.example/tackhub/balancer"
)

// Encode translates an action to a message of the wire format. The wire format has no messages for actions about uploads, write
// deadlines, fleet limits or upgrades, because the simulator does not simulate these. For such an action, Encode returns an
// internal_error message.
func Encode(a balancer.Action) any {
	switch a := a.(type) {
	case balancer.StartAttempt:
		return startAttemptMessage{"call_out", uint64(a.ID), a.Deadline, string(a.Server)}
	case balancer.CancelAttempt:
		return cancelAttemptMessage{"recall", uint64(a.ID), a.Attempt}
	case balancer.Reject:
		return requestMessage{"busy", uint64(a.ID), a.RetryAfter}
	case balancer.Fail:
		return requestMessage{"error", uint64(a.ID), 0}
	case balancer.SetTimer:
		return setTimerMessage{"set_timer", a.Token, a.At}
	case balancer.ProbeLoad:
		return loadProbeMessage{"health_check", string(a.Server)}
	case balancer.WatchEndpoints:
		return watchMessage{"stream_changes", true}
	case balancer.BroadcastGossip:
		return gossipMessage{"tell", nil, a.Body}
	case balancer.Log:
		return textMessage{"record", a.Text}
	}
	return textMessage{"internal_error", fmt.Sprintf("no wire form for %T", a)}
}

// InternalError returns the internal_error message that is sent for an instance that cannot make decisions.
func InternalError(text string) any { return textMessage{"internal_error", text} }
