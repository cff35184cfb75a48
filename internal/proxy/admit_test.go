package proxy

import (
	"testing"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
)

func TestMethodOf(t *testing.T) {
	for idempotency, want := range map[balancer.Idempotency]string{
		balancer.Idempotent:        "GET",
		balancer.IdempotentWithKey: "POST",
		balancer.NonIdempotent:     "POST",
	} {
		if got := methodOf(balancer.Class{Idempotency: idempotency}); got != want {
			t.Errorf("%v: method = %s, want %s", idempotency, got, want)
		}
	}
}

// FuzzAdmit checks that only well-formed requests are admitted, and that the others are rejected with a client error or 504.
func FuzzAdmit(f *testing.F) {
	f.Add("GET", "/look?x=1", "1", "look", "480", "12", "")
	f.Add("POST", "/store", "1", "store", "480", "-1", "key")
	f.Add("PUT", "//look", "", "look", "-1", "NaN", "")
	classes := []balancer.Class{
		{Name: "look"},
		{Name: "store", Idempotency: balancer.IdempotentWithKey},
		{Name: "bill", Idempotency: balancer.NonIdempotent},
	}
	h := NewHandler(Options{Clock: clock.New(), Classes: classes})
	f.Fuzz(func(t *testing.T, method, uri, id, class, deadline, hint, key string) {
		var header fasthttp.RequestHeader
		r := &request{handler: h, received: received{receivedAt: h.options.Clock.Now(), method: method, uri: []byte(uri), id: id,
			class: class, timeout: deadline, costHint: hint, idempotencyKey: key, header: &header}}
		if rejected := r.admit(); rejected != nil {
			clientError := rejected.Status >= 400 && rejected.Status <= 499
			if rejected.Code == "" || rejected.Status != 504 && !clientError {
				t.Errorf("rejection %+v, want a code and status 4xx or 504", rejected)
			}
			return
		}
		a := r.Arrival()
		switch {
		case firstSegment([]byte(uri)) != class || id == "":
			t.Errorf("path %q of class %q with id %q was admitted", uri, class, id)
		case r.class.Idempotency == balancer.IdempotentWithKey && key == "":
			t.Error("a keyed request without an idempotency key was admitted")
		case !(a.Deadline > r.received.receivedAt) || a.Deadline > r.received.receivedAt+maxTimeout:
			t.Errorf("deadline = %v for a request received at %v", a.Deadline, r.received.receivedAt)
		case !(a.WorkHint >= 0 && a.WorkHint < 1e12):
			t.Errorf("work hint = %v for cost hint %q, want at least 0 and below 1e12", a.WorkHint, hint)
		}
	})
}
