package back

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/internal/engine"
)

// longRequest is a request that is sent in blockCount blocks.
func longRequest(blockCount int) []byte {
	body := bytes.Repeat([]byte("x"), blockCount*blocks.Block{SZX: blocks.MaxSZX}.Size())
	return append(fmt.Appendf(nil, "POST /log HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body)), body...)
}

// uploadServer starts a server that answers each block of an upload but the last one after a delay, and calls onBlock before that. It
// does not answer the last block.
func uploadServer(t *testing.T, delay time.Duration, onBlock func(number uint32)) *testServer {
	return startServer(t, func(m message.Message) []message.Message {
		block, _, _ := wire.Block(&m, message.Block1)
		onBlock(block.Num)
		if !block.More {
			return nil
		}
		time.Sleep(delay)
		return []message.Message{{Type: wire.Ack, Code: codes.Continue, MessageID: m.MessageID, Token: m.Token,
			Options: wire.AddUint(nil, message.Block1, block.Value())}}
	})
}

// completions returns how many messages the server received that complete a request.
func (s *testServer) completions() (count int) {
	for _, m := range s.requests() {
		if block, present, _ := wire.Block(&m, message.Block1); !present || !block.More {
			count++
		}
	}
	return count
}

// A repeat of a keyed request takes so many blocks that the last one would arrive after servers have forgotten the first run, and the
// request would run a second time. The attempt must end as not sent as soon as that is certain, so that another server can get it in time.
func TestUploadThatCannotArriveInTimeIsNotSent(t *testing.T) {
	const (
		roundTrip  = 10 * time.Millisecond
		blockCount = 60
		window     = 200 * time.Millisecond
	)
	server := uploadServer(t, roundTrip, func(uint32) {})
	transport, count := startTransport(Scheme + server.conn.LocalAddr().String())
	completions := make(chan engine.Completion, 1)
	began := time.Now()
	transport.Send("s1", engine.OutgoingRequest{Bytes: longRequest(blockCount), WriteDeadline: began.Add(window)},
		func(c engine.Completion) { completions <- c })
	completion := waitForCompletion(t, completions)
	if took := time.Since(began); completion.Outcome != balancer.NotSent || count.Outcomes.Get("unsent") != 1 || took >= window {
		t.Errorf("outcome = %s after %v, want void, counted once, before the end of the window of %v", engine.OutcomeName(completion.Outcome), took, window)
	}
	if n := server.completions(); n != 0 {
		t.Errorf("the server received the last block %d times, want 0", n)
	}
	if n := len(server.requests()); n > blockCount/2 {
		t.Errorf("the server received %d of %d blocks, want the attempt to end after the first ones", n, blockCount)
	}
}

// The message that completes a request gets lost, and its window ends before it is sent again. The copy must not be sent: the server may
// have run the request by the first message and have forgotten it.
func TestNoCopyIsSentAfterWriteDeadline(t *testing.T) {
	server := startServer(t, func(message.Message) []message.Message { return nil })
	transport, count := startTransport(Scheme + server.conn.LocalAddr().String())
	a := transport.Send("s1", engine.OutgoingRequest{Bytes: []byte(getRequest), WriteDeadline: time.Now().Add(100 * time.Millisecond)},
		func(c engine.Completion) { t.Errorf("completion %s, want none", engine.OutcomeName(c.Outcome)) })
	time.Sleep(2 * time.Duration(float64(ackTimeout)*(1+ackJitter)))
	if !a.Abort() {
		t.Error("Abort() = false for an attempt that was written, want true")
	}
	if n := len(server.requests()); n != 1 || count.Retransmits.Get() != 0 {
		t.Errorf("the server received %d messages, %d of them sent again; want 1 and 0", n, count.Retransmits.Get())
	}
}

// withdrawnResolver returns an address until the server is withdrawn, and cell 1 until it changes to cell 2.
type withdrawnResolver struct {
	address     string
	withdrawn   atomic.Bool
	cellChanged atomic.Bool
}

func (r *withdrawnResolver) Groups(balancer.ServerID) (zone string, cell int, known bool) {
	if r.cellChanged.Load() {
		return "z", 2, true
	}
	return "z", 1, true
}

func (r *withdrawnResolver) Address(balancer.ServerID) (string, bool) {
	return r.address, !r.withdrawn.Load()
}

// The client leaves, the server is withdrawn, or it leaves the group that remembers the key, while the blocks of a request are sent. The last block must not be sent, and the attempt
// must end as not sent.
func TestUploadEndsWhenItIsNoLongerWanted(t *testing.T) {
	for _, reason := range []string{"client disconnects", "server is withdrawn", "server leaves its group"} {
		t.Run(reason, func(t *testing.T) {
			resolver := &withdrawnResolver{}
			var clientGone atomic.Bool
			server := uploadServer(t, 0, func(number uint32) {
				if number == 3 {
					resolver.cellChanged.Store(reason == "server leaves its group")
					clientGone.Store(reason == "client disconnects")
					resolver.withdrawn.Store(reason == "server is withdrawn")
				}
			})
			resolver.address = Scheme + server.conn.LocalAddr().String()
			transport, _ := startTransport("")
			transport.options.Resolver = resolver
			completions := make(chan engine.Completion, 1)
			transport.Send("s1", engine.OutgoingRequest{Bytes: longRequest(8), Group: balancer.DedupGroup{Scope: balancer.DedupWithinCell, Cell: 1}, ClientWaiting: func() bool { return !clientGone.Load() }},
				func(c engine.Completion) { completions <- c })
			completion := waitForCompletion(t, completions)
			if completion.Outcome != balancer.NotSent || completion.ClientDisconnected != clientGone.Load() {
				t.Errorf("outcome = %s, ClientDisconnected = %v; want void, %v", engine.OutcomeName(completion.Outcome), completion.ClientDisconnected, clientGone.Load())
			}
			if n := server.completions(); n != 0 {
				t.Errorf("the server received the last block %d times, want 0", n)
			}
		})
	}
}
