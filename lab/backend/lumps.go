package backend

import (
	"bytes"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// maxLumps limits the lumps of a response.
const maxLumps = 64

// lumpsOf returns in how many lumps a request wants its response of size bytes, with which pause before each but the first. It returns 0 lumps if it
// wants an ordinary response.
func lumpsOf(req *fasthttp.Request) (lumps, size int, pause time.Duration) {
	args := req.URI().QueryArgs()
	lumps = min(maxLumps, args.GetUintOrZero("lumps"))
	return lumps, args.GetUintOrZero("size"), time.Duration(args.GetUintOrZero("pause")) * time.Millisecond
}

// writeInLumps writes a response of unknown size in chunks of equal size, with a pause before each but the first.
func (s *Server) writeInLumps(c net.Conn, lumps, size int, pause time.Duration) error {
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	lump := bytes.Repeat([]byte("x"), size/lumps)
	for i := range lumps {
		if i > 0 {
			select {
			case <-time.After(pause):
			case <-s.closed:
				return net.ErrClosed
			}
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(lump), lump); err != nil {
			return err
		}
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err
}
