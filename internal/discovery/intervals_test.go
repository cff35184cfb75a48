package discovery

import (
	"testing"
	"time"
)

// Each delay used to have a limit, but their sum had none. A node received a change 20 s late after discovery had held a watch of a
// large fleet for 20 s, or had sent a Retry-After of 15 s. The sum must stay within notifyDeadline for any number of nodes and any
// drain grace.
func TestWorstCaseDelayWithinNotifyDeadline(t *testing.T) {
	for nodes := range 1025 {
		for _, grace := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond, 2 * time.Second, time.Minute} {
			for _, maxPollInterval := range []time.Duration{0, 200 * time.Millisecond, 10 * time.Second} {
				for _, watchOnRequest := range []bool{false, true} {
					iv := intervalsFor(Options{Nodes: nodes, DrainGrace: grace, MaxPollInterval: maxPollInterval, WatchOnRequest: watchOnRequest})
					if worst := iv.worstCaseDelay(watchOnRequest); worst > notifyDeadline {
						t.Fatalf("%d nodes, grace %v, watch on request %v: worst-case delay = %v, want at most %v: %+v",
							nodes, grace, watchOnRequest, worst, notifyDeadline, iv)
					}
					for range 20 {
						if d := iv.retryDelay(time.Hour, iv.maxRejectedBackoff); d > iv.maxRetryDelay || d < iv.maxRetryDelay/2 {
							t.Fatalf("%d nodes: delay after a rejected call = %v, want %v to %v", nodes, d, iv.maxRetryDelay/2, iv.maxRetryDelay)
						}
						if d := iv.retryDelay(0, iv.maxFailureBackoff); d > iv.maxRetryDelay {
							t.Fatalf("%d nodes: delay after a failed call = %v, want at most %v", nodes, d, iv.maxRetryDelay)
						}
					}
					if iv.watchHold < time.Second && maxPollInterval == 0 || iv.watchHold < 100*time.Millisecond || iv.callTimeout <= 0 || iv.maxRetryDelay <= 0 {
						t.Fatalf("%d nodes, grace %v: watch hold, call timeout or retry delay is too short: %+v", nodes, grace, iv)
					}
				}
			}
		}
	}
}
