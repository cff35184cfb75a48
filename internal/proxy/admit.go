package proxy

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
)

const (
	// maxID bounds what is carried along of a request's id; clients send sixteen characters.
	maxID = 256

	// maxDeadline in milliseconds is the longest wait believed: a request held longer holds a connection for
	// nothing. The protocol's longest deadline is 3 s.
	maxDeadline = 60_000
)

// rejection is why a request is not admitted.
type rejection struct {
	status int
	code   string
}

func (b *rejection) ending() ending { return ending{status: b.status, rejected: b.code} }

// admit checks a request against the protocol and the settings. One that is not in the protocol's form gets
// its answer here, without an attempt.
func (r *request) admit() *rejection {
	t := &r.taken
	class, ok := r.desk.classes[t.class]
	switch {
	case t.id == "" || len(t.id) > maxID:
		return &rejection{fasthttp.StatusBadRequest, "bad_request_id"}
	case !ok:
		return &rejection{fasthttp.StatusBadRequest, "unknown_class"}
	case firstPart(t.uri) != t.class:
		return &rejection{fasthttp.StatusBadRequest, "class_and_path_differ"}
	case t.method != methodOf(class):
		return &rejection{fasthttp.StatusMethodNotAllowed, "wrong_method"}
	case class.Idempotency == balancer.IdempotentWithKey && !t.hasKey:
		return &rejection{fasthttp.StatusBadRequest, "no_key"}
	case t.method == fasthttp.MethodGet && t.hasBody():
		return &rejection{fasthttp.StatusBadRequest, "body_with_get"}
	}
	wait, ok := parseDeadline(t.deadline)
	if !ok {
		return &rejection{fasthttp.StatusBadRequest, "bad_deadline"}
	}
	if r.desk.o.Clock.Now() >= t.at+wait { // nothing was sent: saying so at once is all that is left
		return &rejection{fasthttp.StatusGatewayTimeout, "deadline_past"}
	}
	if late := r.desk.tooLate(); late != nil {
		return late
	}
	if !r.claim() {
		return &rejection{fasthttp.StatusConflict, "id_in_use"}
	}
	if class.TotalTimeout > 0 { // no client waits longer: a request held beyond it holds a connection for nothing
		wait = min(wait, class.TotalTimeout)
	}
	r.class = class
	r.until = r.desk.within(t.at + wait)
	r.wait = r.until - t.at
	r.wire = newOutgoing(t, r.until)
	return nil
}

// firstPart is the first part of a request's path.
func firstPart(uri []byte) string {
	uri, ok := bytes.CutPrefix(uri, []byte("/"))
	if !ok {
		return ""
	}
	if i := bytes.IndexAny(uri, "/?#"); i >= 0 {
		uri = uri[:i]
	}
	return string(uri)
}

// methodOf is the method that a class's effect asks for.
func methodOf(c balancer.Class) string {
	if c.Idempotency == balancer.Idempotent {
		return fasthttp.MethodGet
	}
	return fasthttp.MethodPost
}

// parseDeadline reads whole milliseconds: digits alone, so neither a sign nor an exponent.
func parseDeadline(s string) (balancer.Millis, bool) {
	n, err := strconv.ParseUint(s, 10, 63)
	return balancer.Millis(min(n, maxDeadline)), err == nil
}

// claim takes the request's id while it is open; false where another open request has it. Two under one id could
// not be told apart at a server, and an answer to one might pass for the other's.
func (r *request) claim() bool {
	r.desk.mu.Lock()
	defer r.desk.mu.Unlock()
	if _, taken := r.desk.open[r.taken.id]; taken {
		return false
	}
	if _, taken := r.desk.beside[r.taken.id]; taken {
		return false
	}
	r.desk.open[r.taken.id] = struct{}{}
	if r.desk.tell != nil {
		r.desk.tell(r.taken.id, true)
	}
	r.claimed = true
	return true
}

// release gives the id back.
func (r *request) release() {
	if !r.claimed {
		return
	}
	r.desk.mu.Lock()
	defer r.desk.mu.Unlock()
	r.claimed = false
	delete(r.desk.open, r.taken.id)
	if r.desk.tell != nil {
		r.desk.tell(r.taken.id, false)
	}
}

// parseHint reads microseconds into milliseconds; an odd hint counts as none.
func parseHint(s string) balancer.Millis {
	n, err := strconv.ParseFloat(s, 64)
	if err != nil || !(n > 0) || n > 1e12 {
		return 0
	}
	return n / 1000
}
