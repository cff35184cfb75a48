package back

import (
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/engine"
)

// kept is a large body.
type kept struct{ engine.RequestBody }

// TestLargeBodiesAreNotSent: only a part of one would go out, and pass for the whole.
func TestLargeBodiesAreNotSent(t *testing.T) {
	var count counters.CoapServers
	ended := make(chan engine.Completion, 1)
	New(Options{Count: &count}).Send("s1", engine.OutgoingRequest{Bytes: []byte("POST / HTTP/1.1\r\n\r\n"), Body: kept{}},
		func(e engine.Completion) { ended <- e })
	select {
	case e := <-ended:
		if e.Outcome != balancer.NotSent || count.Outcomes.Get("unsent") != 1 {
			t.Errorf("ended as %s", engine.OutcomeName(e.Outcome))
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no end")
	}
}
