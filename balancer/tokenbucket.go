package balancer

import "math"

// tokenBucket is an allowance that refills with time (refill) or by events (earn).
type tokenBucket struct {
	left       float64
	refilledAt Millis
}

// refill adds what has accrued since the last refill at the given rate per millisecond, up to
// capacity, and returns what is left.
func (t *tokenBucket) refill(now Millis, rate, capacity float64) float64 {
	t.left = min(capacity, t.left+rate*(now-t.refilledAt))
	t.refilledAt = now
	return t.left
}

// refillPhased refills an allowance of which at most capacity may be saved.
//
// Where less than one token may be saved, a token that has accrued is usable only for the fraction
// capacity of the time until the next one accrues, and lapses then. With random phases, the nodes
// that hold a token at any moment number about capacity times the nodes, which is what all may save
// together. Otherwise all nodes could save a token each and spend them at the same moment.
func (t *tokenBucket) refillPhased(now Millis, rate, capacity float64) float64 {
	t.refill(now, rate, math.Inf(1))
	if capacity >= 1 {
		t.left = min(t.left, capacity)
		return t.left
	}
	if t.left >= 1+capacity {
		t.left -= math.Floor(t.left)
		if t.left < capacity {
			t.left++
		}
	}
	return t.left
}

// earn adds an amount, up to capacity. A bucket that is filled by events is not refilled with time.
func (t *tokenBucket) earn(amount, capacity float64) {
	t.left = min(capacity, t.left+amount)
}

// take spends one token, if there is one.
func (t *tokenBucket) take() bool {
	if t.left < 1 {
		return false
	}
	t.left--
	return true
}
