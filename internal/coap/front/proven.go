package front

import (
	"time"

	"tackhub.example/tackhub/internal/coap/echo"
)

const (
	// maxValidated bounds the number of endpoints that are stored as validated.
	maxValidated = 8192

	// validationLifetime is how long an endpoint stays validated.
	validationLifetime = echo.Lifetime
)

// validatedEndpoints maps each validated endpoint to the time at which its validation expires. An endpoint is validated
// when it returns a valid Echo value, which proves that it receives datagrams at its address. Times are durations since
// the server's start.
type validatedEndpoints map[string]time.Duration

// contains reports whether an endpoint is validated and its validation has not expired.
func (v validatedEndpoints) contains(now time.Duration, endpoint string) bool {
	return v[endpoint] > now
}

// add stores an endpoint as validated. If the limit is reached, it first removes other endpoints, possibly before they
// expire. A removed endpoint is challenged again.
func (v validatedEndpoints) add(now time.Duration, endpoint string) {
	if len(v) >= maxValidated {
		v.shrink(now)
	}
	v[endpoint] = now + validationLifetime
}

// shrink removes one endpoint even if it has not expired, and then expired endpoints until fewer than half of
// maxValidated are left.
func (v validatedEndpoints) shrink(now time.Duration) {
	for endpoint, expiresAt := range v {
		if expiresAt <= now || len(v) >= maxValidated {
			delete(v, endpoint)
		}
		if len(v) < maxValidated/2 {
			break
		}
	}
}
