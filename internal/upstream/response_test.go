package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
)

// readAll parses raw bytes as a response and returns its whole body, and whether the response was complete.
func readAll(raw []byte) (got []byte, complete bool) {
	clientConn, serverConn := net.Pipe()
	defer func() { _ = clientConn.Close() }()
	go func() {
		_, _ = serverConn.Write(raw) // fails if the reader has already closed its end
		_ = serverConn.Close()
	}()
	c := &conn{Conn: clientConn, reader: bufio.NewReaderSize(clientConn, readBufferSize)}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	defer resp.Reset()
	received, _, err := (&Pool{}).readResponse(c, resp)
	if err != nil || received.rest == nil {
		return received.body, err == nil
	}
	rest, err := io.ReadAll(received.rest)
	return append(received.body, rest...), err == nil
}

// FuzzReadResponse compares response bodies with those that net/http reads. If both parsers accept a response as complete, the
// bodies must be equal.
func FuzzReadResponse(f *testing.F) {
	big := bytes.Repeat([]byte("x"), body.MaxInMemory+1)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 103 E\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n"))
	f.Add(append([]byte("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n"), big...))
	f.Add(append([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"), big...))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, complete := readAll(raw)
		if !complete {
			return
		}
		r := bufio.NewReader(bytes.NewReader(raw))
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return // net/http is stricter about heads, so there is nothing to compare
			}
			if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
				continue
			}
			want, err := io.ReadAll(resp.Body)
			if err == nil && !bytes.Equal(got, want) {
				t.Errorf("body of %q = %q, want %q", raw, got, want)
			}
			return
		}
	})
}
