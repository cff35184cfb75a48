package front

import (
	"container/list"
	"time"

	"tackhub.example/tackhub/internal/coap/echo"
)

const (
	// maxValidated bounds the number of endpoints that are stored as validated.
	maxValidated = 8192

	// validationLifetime is how long an endpoint stays validated.
	validationLifetime = echo.Lifetime
)

// validatedEndpoints stores the validated endpoints, at most maxValidated. An endpoint is validated when it returns a valid Echo value,
// which proves that it receives datagrams at its address. Times are durations since the server's start.
type validatedEndpoints struct {
	byEndpoint map[string]*list.Element
	byExpiry   *list.List // of validation, the earliest to expire first
}

// validation is one validated endpoint.
type validation struct {
	endpoint  string
	expiresAt time.Duration
}

func newValidatedEndpoints() validatedEndpoints {
	return validatedEndpoints{byEndpoint: map[string]*list.Element{}, byExpiry: list.New()}
}

// contains reports whether an endpoint is validated and its validation has not expired.
func (v validatedEndpoints) contains(now time.Duration, endpoint string) bool {
	element := v.byEndpoint[endpoint]
	return element != nil && element.Value.(validation).expiresAt > now
}

// add stores an endpoint as validated and removes the expired ones. At the limit it also removes the one that would expire first. An
// endpoint that was removed is challenged again.
func (v validatedEndpoints) add(now time.Duration, endpoint string) {
	v.remove(endpoint)
	for first := v.byExpiry.Front(); first != nil; first = v.byExpiry.Front() {
		oldest := first.Value.(validation)
		if oldest.expiresAt > now && len(v.byEndpoint) < maxValidated {
			break
		}
		v.remove(oldest.endpoint)
	}
	v.byEndpoint[endpoint] = v.byExpiry.PushBack(validation{endpoint: endpoint, expiresAt: now + validationLifetime})
}

// remove removes an endpoint, if it is stored.
func (v validatedEndpoints) remove(endpoint string) {
	element := v.byEndpoint[endpoint]
	if element == nil {
		return
	}
	delete(v.byEndpoint, endpoint)
	v.byExpiry.Remove(element)
}
