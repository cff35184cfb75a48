package upstream

import (
	"io"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/engine"
)

// A server left its group while the repeat of a keyed request waited for a connection to it, and got the repeat, whose key it does not know.
// An attempt must not be written once its server has left the group for which it was chosen. Attempts for the group in which the server is,
// and those that need no group, are written as before.
func TestNothingIsWrittenToServerThatLeftItsGroup(t *testing.T) {
	for name, c := range map[string]struct {
		group balancer.DedupGroup
		want  balancer.Outcome
	}{
		"other cell": {balancer.DedupGroup{Scope: balancer.DedupWithinCell, Cell: 2}, balancer.NotSent},
		"other zone": {balancer.DedupGroup{Scope: balancer.DedupWithinZone, Zone: "y"}, balancer.NotSent},
		"its cell":   {balancer.DedupGroup{Scope: balancer.DedupWithinCell, Cell: 1}, balancer.OK},
		"its zone":   {balancer.DedupGroup{Scope: balancer.DedupWithinZone, Zone: "z"}, balancer.OK},
		"no group":   {balancer.DedupGroup{}, balancer.OK},
	} {
		addr, accepted := acceptingListener(t)
		p, _ := testPool(fixedResolver{"s1": addr}, 4, 4)
		ended := make(chan engine.Completion, 1)
		p.Send("s1", engine.OutgoingRequest{Bytes: []byte("POST /store HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"), Group: c.group},
			func(e engine.Completion) { ended <- e })
		if c.want == balancer.OK {
			go func() { _, _ = io.WriteString(accepted(0), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }()
		}
		select {
		case e := <-ended:
			if e.Outcome != c.want {
				t.Errorf("%s: outcome %s, want %s", name, engine.OutcomeName(e.Outcome), engine.OutcomeName(c.want))
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: no completion after 10 s", name)
		}
	}
}
