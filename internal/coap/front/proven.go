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

// validatedEndpoints maps each endpoint that has proved with an Echo value that it receives at its address to the time
// at which the validation expires. Times are durations since the server's start.
type validatedEndpoints map[string]time.Duration

// contains reports whether an endpoint is validated and its validation has not expired.
func (v validatedEndpoints) contains(now time.Duration, endpoint string) bool {
	return v[endpoint] > now
}

// add stores an endpoint as validated. At the limit it first removes endpoints, not all of them necessarily expired; a
// removed endpoint is challenged again.
func (v validatedEndpoints) add(now time.Duration, endpoint string) {
	if len(v) >= maxValidated {
		v.shrink(now)
	}
	v[endpoint] = now + validationLifetime
}

// shrink removes at least one endpoint, expired or not, and further expired ones until less than half of the limit is
// used.
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
