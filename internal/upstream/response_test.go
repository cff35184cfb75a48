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

// readAll reads a response from raw bytes, and all of its body.
func readAll(raw []byte) (got []byte, complete bool) {
	mine, theirs := net.Pipe()
	defer func() { _ = mine.Close() }()
	go func() {
		_, _ = theirs.Write(raw) // it fails once the reader has closed
		_ = theirs.Close()
	}()
	c := &conn{Conn: mine, reader: bufio.NewReaderSize(mine, readBufferSize)}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	defer resp.Reset()
	a, _, err := (&Pool{}).readResponse(c, resp)
	if err != nil || a.rest == nil {
		return a.body, err == nil
	}
	rest, err := io.ReadAll(a.rest)
	return append(a.body, rest...), err == nil
}

// FuzzReadResponse compares what is read of a response with the standard library: a body that counts as complete here must be
// the same there.
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
				return // it is stricter about heads, so there is nothing to compare
			}
			if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
				continue
			}
			want, err := io.ReadAll(resp.Body)
			if err == nil && !bytes.Equal(got, want) {
				t.Errorf("%q was read as %q, is %q", raw, got, want)
			}
			return
		}
	})
}
