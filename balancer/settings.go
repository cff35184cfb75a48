package balancer

import (
	"errors"
	"fmt"
	"math"
)

// shortestAbove is the shortest aim among the classes that are worth more than this one and have less time; without any
// such it has no end.
func shortestAbove(s Settings, c Class) Millis {
	aim := math.Inf(1)
	for _, d := range s.Classes {
		if d.PriorityWeight > c.PriorityWeight && d.LatencyObjective < c.LatencyObjective {
			aim = min(aim, d.LatencyObjective)
		}
	}
	return aim
}

// validate names the setting that makes deciding impossible.
func validate(s Settings) error {
	switch {
	case s.Nodes < 1:
		return errors.New("number of nodes must be at least 1")
	case len(s.Classes) == 0:
		return errors.New("no classes of request")
	case s.MaxAttempts < 1:
		return errors.New("attempts per request must be at least 1")
	case s.InitialCapacity < 0 || s.InitialCapacity > 1:
		return errors.New("cold starting share must lie in 0 to 1")
	case s.SlowStartDuration < 0 || s.OverloadWindow < 0 || s.OverloadFactor <= 0:
		return errors.New("cold server figures must be positive")
	case s.DrainGrace < 0:
		return errors.New("drain grace must not be negative")
	}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.TotalTimeout <= 0 {
			return fmt.Errorf("class %q: aim and hard limit must be positive", c.Name)
		}
		if c.Idempotency == IdempotentWithKey && c.DedupWindow <= 0 {
			return fmt.Errorf("class %q: a keyed class needs a window", c.Name)
		}
	}
	return nil
}
