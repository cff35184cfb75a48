// Package inventory reads lists of servers as configuration tools keep them, in CSV or YAML, and writes them. It is pure:
// bytes come in, and a complete list or everything that is wrong with it comes out. A list with one error is no list, since
// half of a list would take the other half of the servers out of service.
package inventory

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"strings"
)

// Phase is what a source wants of a server.
type Phase string

// The phases.
const (
	Serving  Phase = "serving"
	Draining Phase = "draining" // no new requests
)

// phaseWords are the words for phases that tools use, in lower case.
var phaseWords = map[string]Phase{
	"": Serving, "serving": Serving, "active": Serving, "enabled": Serving, "up": Serving, "in": Serving,
	"draining": Draining, "drain": Draining, "disabled": Draining, "maintenance": Draining, "out": Draining,
}

// Server is one server as a source describes it. An empty field is one that the source does not state.
type Server struct {
	ID      string            `json:"id"`
	Address string            `json:"address,omitempty"` // IP address and port, possibly after SchemeCoAP
	Zone    string            `json:"zone,omitempty"`
	Pod     string            `json:"pod,omitempty"` // the servers of a pod drop repetitions of a keyed request together
	Size    float64           `json:"size,omitempty"`
	Phase   Phase             `json:"phase,omitempty"`
	Started float64           `json:"started,omitempty"` // Unix milliseconds of the process's start; 0: not known
	Tags    []string          `json:"tags,omitempty"`
	Extra   map[string]string `json:"extra,omitempty"` // fields that are not known here, kept to be shown
}

// SchemeCoAP before an address says that the server speaks CoAP instead of HTTP.
const SchemeCoAP = "coap://"

// List is a complete list that was read.
type List struct {
	Servers []Server
	SHA256  string // of the file, in hexadecimal: the list's revision
}

// Options say how files are to be read. The zero value reads them plainly.
type Options struct {
	Aliases map[string]string // from a file's word for a column or key to ours
	MinRows int               // fewer servers are an error: a file cut off at the end of a line is still well-formed
	Trailer bool              // the last line must be a comment "# end N" with the number of servers
}

// The bounds of a file. Ten thousand servers take one megabyte as CSV and three as YAML.
const (
	MaxBytes      = 8 << 20
	maxServers    = 100_000
	maxIDBytes    = 128
	maxFieldBytes = 1024
)

// The fields by their names in a file.
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

// Parse reads a file by the extension of its name: .csv, .yaml or .yml. The error is a *Diagnostics.
func Parse(name string, raw []byte, o Options) (List, error) {
	switch ext := strings.ToLower(filepath.Ext(name)); ext {
	case ".csv":
		return ParseCSV(name, raw, o)
	case ".yaml", ".yml":
		return ParseYAML(name, raw, o)
	default:
		return List{}, singleDiagnostic(name, fmt.Sprintf("ending %q is not known: .csv, .yaml or .yml is wanted", ext))
	}
}

// checkSize rejects a file that is too large before it is parsed.
func checkSize(name string, raw []byte) error {
	if len(raw) <= MaxBytes {
		return nil
	}
	return singleDiagnostic(name, fmt.Sprintf("%d bytes, %d at most", len(raw), MaxBytes))
}

// SHA256 is the hash of a file, in hexadecimal.
func SHA256(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
