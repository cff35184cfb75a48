// Package inventory parses and writes server lists in CSV or YAML, the formats of configuration tools. It performs no I/O:
// parsing takes bytes and returns either a complete list or the errors in it. A list with any error is rejected, since a partial
// list would take the missing servers out of service.
package inventory

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"strings"
)

// Phase is the state that a source requests for a server.
type Phase string

// The phases of a server.
const (
	Serving  Phase = "serving"
	Draining Phase = "draining" // no new requests
)

// phaseAliases maps the names that tools use for phases, in lower case, to phases.
var phaseAliases = map[string]Phase{
	"": Serving, "serving": Serving, "active": Serving, "enabled": Serving, "up": Serving, "in": Serving,
	"draining": Draining, "drain": Draining, "disabled": Draining, "maintenance": Draining, "out": Draining,
}

// Server is a server as described by one source. A field that the source does not state is empty.
type Server struct {
	ID      string            `json:"id"`
	Address string            `json:"address,omitempty"` // IP address and port, possibly after SchemeCoAP
	Zone    string            `json:"zone,omitempty"`
	Pod     string            `json:"pod,omitempty"` // the servers of a pod together drop repeats of a request with an idempotency key
	Size    float64           `json:"size,omitempty"`
	Phase   Phase             `json:"phase,omitempty"`
	Started float64           `json:"started,omitempty"` // Unix time of the process's start in milliseconds; 0: unknown
	Tags    []string          `json:"tags,omitempty"`
	Extra   map[string]string `json:"extra,omitempty"` // unknown fields, kept for display
}

// SchemeCoAP is the prefix of the address of a server that uses CoAP instead of HTTP.
const SchemeCoAP = "coap://"

// List is a complete, valid list.
type List struct {
	Servers []Server
	SHA256  string // SHA-256 of the file in hexadecimal, used as the list's revision
}

// Options configures parsing. The zero value requires at least one server and no trailer.
type Options struct {
	Aliases map[string]string // field name by name of the column or key in the file
	MinRows int               // fewer servers are an error, since a file truncated at the end of a line is still well-formed
	Trailer bool              // the last line must be a comment "# end N" with the number of servers
}

// Limits of a file. A list of 10,000 servers takes 1 MB as CSV and 3 MB as YAML.
const (
	MaxBytes      = 8 << 20
	maxServers    = 100_000
	maxIDBytes    = 128
	maxFieldBytes = 1024
)

// Names of the fields in a file.
const (
	fieldID      = "id"
	fieldAddress = "address"
	fieldZone    = "zone"
	fieldPod     = "pod"
	fieldSize    = "size"
	fieldPhase   = "phase"
	fieldTags    = "tags"
)

var fields = []string{fieldID, fieldAddress, fieldZone, fieldPod, fieldSize, fieldPhase, fieldTags}

// Parse parses a file in the format given by the extension of its name: .csv, .yaml or .yml. The error is a *Diagnostics.
func Parse(name string, raw []byte, o Options) (List, error) {
	switch ext := strings.ToLower(filepath.Ext(name)); ext {
	case ".csv":
		return ParseCSV(name, raw, o)
	case ".yaml", ".yml":
		return ParseYAML(name, raw, o)
	default:
		return List{}, singleDiagnostic(name, fmt.Sprintf("unknown file extension %q: expected .csv, .yaml or .yml", ext))
	}
}

// checkSize rejects a file that is too large before it is parsed.
func checkSize(name string, raw []byte) error {
	if len(raw) <= MaxBytes {
		return nil
	}
	return singleDiagnostic(name, fmt.Sprintf("the file has %d bytes, at most %d are allowed", len(raw), MaxBytes))
}

// SHA256 returns the SHA-256 of a file in hexadecimal.
func SHA256(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
