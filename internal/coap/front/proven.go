package front

import (
	"time"

	"tackhub.example/tackhub/internal/coap/echo"
)

const (
	// maxProven bounds the endpoints that are remembered as proven.
	maxProven = 8192

	// provenLifetime is how long an endpoint stays proven.
	provenLifetime = echo.Lifetime
)

// provenEndpoints are the endpoints that have shown by an Echo value that they receive at their address, with the end of
// their time. Times are spans since the server's start.
type provenEndpoints map[string]time.Duration

// contains reports whether an endpoint is proven.
func (p provenEndpoints) contains(now time.Duration, endpoint string) bool {
	return p[endpoint] > now
}

// add notes that an endpoint is proven. At the limit expired ones, or any one, make way; one that is forgotten is challenged
// again.
func (p provenEndpoints) add(now time.Duration, endpoint string) {
	if len(p) >= maxProven {
		p.shrink(now)
	}
	p[endpoint] = now + provenLifetime
}

// shrink removes at least one endpoint, and expired ones until half of the limit is free.
func (p provenEndpoints) shrink(now time.Duration) {
	for endpoint, expiresAt := range p {
		if expiresAt <= now || len(p) >= maxProven {
			delete(p, endpoint)
		}
		if len(p) < maxProven/2 {
			break
		}
	}
}
