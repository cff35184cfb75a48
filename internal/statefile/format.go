package statefile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

// magic begins each file.
const magic = "tackhub-state"

// The reasons for which the content of a file cannot be used.
var (
	errTorn     = errors.New("no first line: torn")
	errForeign  = errors.New("a foreign file")
	errChecksum = errors.New("its checksum differs")
)

// encode puts a header line before the data. It says what the file is, how long, and its SHA-256.
func (s *Store) encode(data []byte, generation uint64) []byte {
	header := s.header(data, generation)
	return append([]byte(header+"sha256="+checksum(header, data)+"\n"), data...)
}

// header is the header line up to the checksum.
func (s *Store) header(data []byte, generation uint64) string {
	return fmt.Sprintf("%s %s version=%d generation=%d bytes=%d ", magic, s.name, s.version, generation, len(data))
}

// checksum is the SHA-256 of header and data, in hexadecimal.
func checksum(header string, data []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(header)) // a hash never returns an error
	_, _ = h.Write(data)
	return hex.EncodeToString(h.Sum(nil))
}

// decode verifies a file and returns its data.
func (s *Store) decode(raw []byte, generation uint64) ([]byte, error) {
	line, data, complete := bytes.Cut(raw, []byte("\n"))
	if !complete {
		return nil, errTorn
	}
	header, sum, hasSum := strings.Cut(string(line), "sha256=")
	if !hasSum || !strings.HasPrefix(header, magic+" "+s.name+" ") {
		return nil, errForeign
	}
	if want := s.header(data, generation); header != want {
		return nil, fmt.Errorf("its first line is %q, %q is wanted: torn, or of another version", strings.TrimSpace(header), strings.TrimSpace(want))
	}
	if checksum(header, data) != sum {
		return nil, errChecksum
	}
	return data, nil
}
