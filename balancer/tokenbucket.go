package balancer

import "math"

// tokenBucket holds tokens that are added either with time or by events.
type tokenBucket struct {
	available  float64 // available tokens
	refilledAt Millis
}

// refill adds the tokens that have accrued since the last refill, at the given rate per millisecond and up
// to capacity, and returns the available tokens.
func (t *tokenBucket) refill(now Millis, rate, capacity float64) float64 {
	t.available = min(capacity, t.available+rate*(now-t.refilledAt))
	t.refilledAt = now
	return t.available
}

// refillPhased refills a bucket that may save at most capacity tokens, where capacity may be below 1.
//
// If capacity is below 1, a token expires before the next one is complete: it is usable for capacity times
// the time in which a token accrues. If the nodes start with random fill levels, the fraction of nodes with
// a usable token is about capacity at any moment, so the tokens saved by all nodes together stay within the
// limit of the fleet. Otherwise each node could save a token, and all could spend them at the same time.
func (t *tokenBucket) refillPhased(now Millis, rate, capacity float64) float64 {
	t.refill(now, rate, math.Inf(1))
	if capacity >= 1 {
		t.available = min(t.available, capacity)
		return t.available
	}
	if t.available >= 1+capacity {
		t.available -= math.Floor(t.available)
		if t.available < capacity {
			t.available++
		}
	}
	return t.available
}

// credit adds tokens for an event, up to capacity. Such a bucket is not refilled with time.
func (t *tokenBucket) credit(amount, capacity float64) {
	t.available = min(capacity, t.available+amount)
}

// take spends one token and reports whether one was available.
func (t *tokenBucket) take() bool {
	if t.available < 1 {
		return false
	}
	t.available--
	return true
}
