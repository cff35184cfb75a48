package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
)

// readFrom reads an answer that comes as it is given, and all that is left of it.
func readFrom(raw []byte) (got []byte, whole bool) {
	mine, theirs := net.Pipe()
	defer func() { _ = mine.Close() }()
	go func() {
		_, _ = theirs.Write(raw) // who has read enough leaves
		_ = theirs.Close()
	}()
	c := &conn{Conn: mine, r: bufio.NewReaderSize(mine, readBuffer)}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	defer resp.Reset()
	a, _, err := (&Pool{}).readAnswer(c, resp)
	if err != nil || a.rest == nil {
		return a.body, err == nil
	}
	rest, err := io.ReadAll(a.rest)
	return append(a.body, rest...), err == nil
}

// FuzzAnswer holds what is read of an answer against the standard library: whatever is taken for whole must be so there.
func FuzzAnswer(f *testing.F) {
	big := bytes.Repeat([]byte("x"), body.MaxInMemory+1)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 103 E\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n"))
	f.Add(append([]byte("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n"), big...))
	f.Add(append([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"), big...))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, whole := readFrom(raw)
		if !whole {
			return
		}
		r := bufio.NewReader(bytes.NewReader(raw))
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return // it is stricter about heads, and what it does not read it does not contradict
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

// TestWhenTheNextPieceIsDue: an answer of untold size may not stand still for half a second once the request's time is up. Over
// 64 KiB the first bytes are timed alone.
func TestWhenTheNextPieceIsDue(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		s    Stream
		want time.Duration // from now
	}{
		"nobody waits":            {Stream{size: -1}, stallMost},
		"long before":             {Stream{size: -1, until: now.Add(time.Minute)}, stallMost},
		"untold, before":          {Stream{size: -1, got: 11, until: now.Add(time.Second)}, time.Second},
		"untold, shortly before":  {Stream{size: -1, got: 11, until: now.Add(time.Millisecond)}, stallLate},
		"untold, after":           {Stream{size: -1, got: 11, until: now.Add(-time.Hour)}, stallLate},
		"untold and large, after": {Stream{size: -1, got: 1 << 20, until: now.Add(-time.Hour)}, stallLate},
		"large, before":           {Stream{size: 1 << 20, until: now.Add(time.Second)}, stallMost},
		"large, after":            {Stream{size: 1 << 20, until: now.Add(-time.Hour)}, stallMost},
	} {
		due := c.s.due().Sub(now)
		passed := time.Since(now)
		if due < c.want || due > c.want+passed {
			t.Errorf("%s: due in %v, want %v to %v", name, due, c.want, c.want+passed)
		}
	}
}
