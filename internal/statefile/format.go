package statefile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

// magic is the first word of each file.
const magic = "tackhub-state"

// Errors for file content that cannot be used.
var (
	errNoHeader     = errors.New("no header line: the file is truncated")
	errUnrecognized = errors.New("unrecognized header: not a state file of this name")
	errChecksum     = errors.New("checksum mismatch")
)

// encode prepends a header line to the data. The header contains the magic word, the name, version and generation of the state, the
// length of the data in bytes, and a SHA-256 checksum.
func (s *Store) encode(data []byte, generation uint64) []byte {
	header := s.header(data, generation)
	return append([]byte(header+"sha256="+checksum(header, data)+"\n"), data...)
}

// header returns the header line up to the checksum.
func (s *Store) header(data []byte, generation uint64) string {
	return fmt.Sprintf("%s %s version=%d generation=%d bytes=%d ", magic, s.name, s.version, generation, len(data))
}

// checksum returns the SHA-256 of header and data in hexadecimal.
func checksum(header string, data []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(header)) // hash.Hash.Write never returns an error
	_, _ = h.Write(data)
	return hex.EncodeToString(h.Sum(nil))
}

// decode verifies the content of a file and returns its data.
func (s *Store) decode(raw []byte, generation uint64) ([]byte, error) {
	headerLine, data, hasHeader := bytes.Cut(raw, []byte("\n"))
	if !hasHeader {
		return nil, errNoHeader
	}
	header, sum, hasSum := strings.Cut(string(headerLine), "sha256=")
	if !hasSum || !strings.HasPrefix(header, magic+" "+s.name+" ") {
		return nil, errUnrecognized
	}
	if want := s.header(data, generation); header != want {
		return nil, fmt.Errorf("header is %q, want %q: the file is truncated or of another version", strings.TrimSpace(header), strings.TrimSpace(want))
	}
	if checksum(header, data) != sum {
		return nil, errChecksum
	}
	return data, nil
}
