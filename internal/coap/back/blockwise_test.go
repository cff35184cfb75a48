package back

import (
	"bytes"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/internal/engine"
)

// ackWith returns a response in the acknowledgement of a message.
func ackWith(m message.Message, code codes.Code, payload []byte, options message.Options) []message.Message {
	return []message.Message{{Type: wire.Ack, Code: code, MessageID: m.MessageID, Token: m.Token, Payload: payload, Options: options}}
}

// blockResponse returns the requested block of a body, with an entity tag unless it is empty.
func blockResponse(m message.Message, code codes.Code, body []byte, etag string) []message.Message {
	requested, present, _ := wire.Block(&m, message.Block2)
	if !present {
		requested = blocks.Block{SZX: 5}
	}
	part, block, _ := blocks.Block{Num: requested.Num, SZX: min(requested.SZX, 5)}.Slice(body)
	var options message.Options
	if etag != "" {
		options = options.Add(message.Option{ID: message.ETag, Value: []byte(etag)})
	}
	return ackWith(m, code, part, wire.AddUint(options, message.Block2, block.Value()))
}

// sendTo sends a request to a server and returns the completion of the attempt.
func sendTo(t *testing.T, server *testServer, raw []byte) engine.Completion {
	t.Helper()
	transport, _ := startTransport(Scheme + server.conn.LocalAddr().String())
	completions := make(chan engine.Completion, 1)
	transport.Send("s1", engine.OutgoingRequest{Bytes: raw}, func(c engine.Completion) { completions <- c })
	return waitForCompletion(t, completions)
}

// distinctMessages returns the number of messages that a server has received, without copies.
func distinctMessages(server *testServer) int {
	ids := map[int32]bool{}
	for _, m := range server.requests() {
		ids[m.MessageID] = true
	}
	return len(ids)
}

// A cover was put anew while its blocks were fetched, and the client got the beginning of the old one with the end of the new one. It must
// get one version whole. A server without entity tags, or with a tag that stays, is asked for each block once as before.
func TestResponseIsNotPutTogetherFromTwoVersions(t *testing.T) {
	versions := [][]byte{bytes.Repeat([]byte("old!"), 400), bytes.Repeat([]byte("new."), 400)}
	for name, c := range map[string]struct {
		changesAt int // number of the message from which on the server has the new version
		tagged    bool
		want      []byte
		messages  int
	}{
		"changed between blocks":        {changesAt: 2, tagged: true, want: versions[1], messages: 7},
		"changed before the last block": {changesAt: 4, tagged: true, want: versions[1], messages: 8},
		"unchanged":                     {changesAt: 100, tagged: true, want: versions[0], messages: 4},
		"no entity tags":                {changesAt: 100, want: versions[0], messages: 4},
	} {
		received := 0
		server := startServer(t, func(m message.Message) []message.Message {
			received++
			version, etag := 0, ""
			if received >= c.changesAt {
				version = 1
			}
			if c.tagged {
				etag = string(rune('a' + version))
			}
			return blockResponse(m, codes.Content, versions[version], etag)
		})
		got := sendTo(t, server, []byte(getRequest))
		if got.Outcome != balancer.OK || !bytes.Equal(got.Body, c.want) {
			t.Errorf("%s: outcome %s with %d bytes from %.8q, want one whole version", name, engine.OutcomeName(got.Outcome), len(got.Body), got.Body)
		}
		if n := distinctMessages(server); n > c.messages {
			t.Errorf("%s: the server got %d messages, want %d at most", name, n, c.messages)
		}
	}
}

// The response to a request with an effect changes between its blocks. The request must not run again for it, and the client must not get
// parts of both: the attempt may have run.
func TestChangedResponseToPostMayHaveRun(t *testing.T) {
	received := 0
	server := startServer(t, func(m message.Message) []message.Message {
		received++
		return blockResponse(m, codes.Changed, bytes.Repeat([]byte("x"), 1600), string(rune('a'+received)))
	})
	got := sendTo(t, server, requestWith("/put-cover", "", ""))
	if got.Outcome != balancer.ConnectionLost || distinctMessages(server) != 2 {
		t.Errorf("outcome %s after %d messages, want broken after 2", engine.OutcomeName(got.Outcome), distinctMessages(server))
	}
}

// A server enacted the first block of an upload alone (2.04 with the M bit unset, RFC 7959, 2.3), or answered its last block as one of
// several, and the client got 200. The server has not taken the upload, but may have run a part of it: the request must neither be served
// nor count as one that cannot have run. A server that answers the whole upload is served as before.
func TestUploadOfWhichAPartWasTakenIsNotServed(t *testing.T) {
	body := string(bytes.Repeat([]byte("cover"), 500))
	for name, c := range map[string]struct {
		firstCode, lastCode codes.Code
		want                balancer.Outcome
		messages            int
	}{
		"first block enacted alone":  {codes.Changed, codes.Changed, balancer.ConnectionLost, 1},
		"first block created alone":  {codes.Created, codes.Changed, balancer.ConnectionLost, 1},
		"last block not the last":    {codes.Continue, codes.Continue, balancer.ConnectionLost, 3},
		"whole":                      {codes.Continue, codes.Changed, balancer.OK, 3},
		"refused at the first block": {codes.ServiceUnavailable, codes.Changed, balancer.Overloaded, 1},
		"error at the first block":   {codes.RequestEntityTooLarge, codes.Changed, balancer.Errored, 1},
	} {
		server := startServer(t, func(m message.Message) []message.Message {
			block, _, _ := wire.Block(&m, message.Block1)
			if !block.More {
				return ackWith(m, c.lastCode, nil, wire.AddUint(nil, message.Block1, block.Value()))
			}
			block.More = c.firstCode == codes.Continue
			return ackWith(m, c.firstCode, nil, wire.AddUint(nil, message.Block1, block.Value()))
		})
		got := sendTo(t, server, requestWith("/put-cover", "", body))
		if got.Outcome != c.want || distinctMessages(server) != c.messages {
			t.Errorf("%s: outcome %s after %d messages, want %s after %d", name, engine.OutcomeName(got.Outcome), distinctMessages(server),
				engine.OutcomeName(c.want), c.messages)
		}
	}
}

// A short request, whose body is not sent in blocks, was served with the Continue of a server that expects more.
func TestContinueIsNoResponseToAShortRequest(t *testing.T) {
	server := startServer(t, func(m message.Message) []message.Message { return ackWith(m, codes.Continue, nil, nil) })
	if got := sendTo(t, server, requestWith("/put-cover", "", "ok")); got.Outcome != balancer.ConnectionLost {
		t.Errorf("outcome %s, want broken", engine.OutcomeName(got.Outcome))
	}
}
