package back

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/target"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/internal/engine"
)

// requestWith returns an encoded request with a target and a body.
func requestWith(requestTarget, fields, body string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: a\r\nX-Class: put-cover\r\nX-Request-Id: r1\r\nIdempotency-Key: k 1\r\n%sContent-Length: %d\r\n\r\n%s",
		requestTarget, fields, len(body), body)
}

// A server got an encoded slash as a separator, lost empty segments, and got + as a space: the request overwrote another object. The other
// targets are those that went on unchanged before as well.
func TestServerGetsPathAndQueryOfItsClient(t *testing.T) {
	for text, want := range map[string]target.Options{
		"/put-cover/nile0%2F1":         {Path: []string{"put-cover", "nile0/1"}},
		"/put-cover/nile0//1/":         {Path: []string{"put-cover", "nile0", "", "1", ""}},
		"/put-cover?x=1+2&y&z=":        {Path: []string{"put-cover"}, Queries: []string{"x=1+2", "y", "z="}},
		"/put-cover/nile0/1":           {Path: []string{"put-cover", "nile0", "1"}},
		"/put-cover/nile0-1?w=7&w=%26": {Path: []string{"put-cover", "nile0-1"}, Queries: []string{"w=7", "w=&"}},
	} {
		m, body, err := convertRequest(requestWith(text, "", "cover"))
		path, queries := wire.Strings(&m, message.URIPath), wire.Strings(&m, message.URIQuery)
		if err != nil || !slices.Equal(path, want.Path) || !slices.Equal(queries, want.Queries) || string(body) != "cover" {
			t.Errorf("%s: path %q, queries %q, body %q, error %v, want %q", text, path, queries, body, err, want)
		}
		if key, _ := wire.Bytes(&m, OptIdempotencyKey); string(key) != "k 1" {
			t.Errorf("%s: key %q, want %q", text, key, "k 1")
		}
	}
}

// The body of a form was parsed and written again, in another form than its client's.
func TestServerGetsBodyOfItsClientByteForByte(t *testing.T) {
	const form = "preamble\r\n--b\r\ncontent-disposition: form-data; name=\"a\"\r\n\r\n1\r\n--b--\r\nepilogue"
	for name, fields := range map[string]string{
		"form":  "Content-Type: multipart/form-data; boundary=b\r\n",
		"plain": "Content-Type: text/plain\r\n",
	} {
		_, body, err := convertRequest(requestWith("/put-cover", fields, form))
		if err != nil || string(body) != form {
			t.Errorf("%s: body %q, error %v, want %q", name, body, err, form)
		}
	}
}

// A request that CoAP cannot express was sent to another object, or with an option that is longer than the standard permits. It must end as
// not sent, with one log line and a counter, and the server must not get anything.
func TestRequestThatCoapCannotExpressIsNotSent(t *testing.T) {
	for _, text := range []string{"/put-cover/a/../b", "/put-cover/./b", "/put-cover/%2e%2e/b", "/put-cover/" + strings.Repeat("a", 256),
		"/put-cover?" + strings.Repeat("a", 256), "/put-cover/%zz", "/put-cover/%ff"} {
		server := startServer(t, func(message.Message) []message.Message { return nil })
		transport, count := startTransport(Scheme + server.conn.LocalAddr().String())
		var log bytes.Buffer
		transport.options.Log = slog.New(slog.NewTextHandler(&log, nil))
		for range 2 {
			completions := make(chan engine.Completion, 1)
			transport.Send("s1", engine.OutgoingRequest{Bytes: requestWith(text, "", "")}, func(c engine.Completion) { completions <- c })
			if got := waitForCompletion(t, completions).Outcome; got != balancer.NotSent {
				t.Errorf("%.30s: outcome = %s, want void", text, engine.OutcomeName(got))
			}
		}
		if n := len(server.requests()); n != 0 {
			t.Errorf("%.30s: the server got %d messages, want 0", text, n)
		}
		if lines := strings.Count(log.String(), "coap_request"); lines != 1 || count.Outcomes.Get(outcomeInexpressible) != 2 {
			t.Errorf("%.30s: %d log lines and a count of %d, want 1 and 2", text, lines, count.Outcomes.Get(outcomeInexpressible))
		}
	}
}
