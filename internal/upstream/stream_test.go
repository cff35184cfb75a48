package upstream

import (
	"testing"
	"time"
)

// A response of unknown size may pause for less than half a second after the request's deadline. The deadline must not limit the
// rest of a response whose size is known to be over 64 KiB, because it applies only to the first bytes of such a response.
func TestReadDeadline(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		s    Stream
		want time.Duration // from now
	}{
		"unknown size, no deadline":            {Stream{size: -1}, stallTimeout},
		"unknown size, deadline in 1 min":      {Stream{size: -1, deadline: now.Add(time.Minute)}, stallTimeout},
		"unknown size, deadline in 1 s":        {Stream{size: -1, bytesRead: 11, deadline: now.Add(time.Second)}, time.Second},
		"unknown size, deadline in 1 ms":       {Stream{size: -1, bytesRead: 11, deadline: now.Add(time.Millisecond)}, stallTimeoutAfterDeadline},
		"unknown size, deadline passed":        {Stream{size: -1, bytesRead: 11, deadline: now.Add(-time.Hour)}, stallTimeoutAfterDeadline},
		"unknown size, deadline passed, 1 MiB": {Stream{size: -1, bytesRead: 1 << 20, deadline: now.Add(-time.Hour)}, stallTimeout},
		"unknown size, probably large":         {Stream{size: -1, bytesRead: probablyLargeBytes, deadline: now.Add(-time.Hour)}, stallTimeout},
		"unknown size, probably small":         {Stream{size: -1, bytesRead: probablyLargeBytes - 1, deadline: now.Add(-time.Hour)}, stallTimeoutAfterDeadline},
		"64 KiB announced, deadline passed":    {Stream{size: 64 << 10, bytesRead: 60 << 10, deadline: now.Add(-time.Hour)}, stallTimeoutAfterDeadline},
		"1 MiB, deadline in 1 s":               {Stream{size: 1 << 20, deadline: now.Add(time.Second)}, stallTimeout},
		"1 MiB, deadline passed":               {Stream{size: 1 << 20, deadline: now.Add(-time.Hour)}, stallTimeout},
	} {
		due := c.s.readDeadline().Sub(now)
		elapsed := time.Since(now)
		if due < c.want || due > c.want+elapsed {
			t.Errorf("%s: read deadline in %v, want %v to %v", name, due, c.want, c.want+elapsed)
		}
	}
}
