package inventory

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// tagSeparator separates tags in one CSV field.
const tagSeparator = ";"

// WriteCSV returns a list as CSV with a trailer. The columns of extra fields follow those of the known fields.
func WriteCSV(servers []Server) []byte {
	extra := extraFields(servers)
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	_ = w.Write(append(append([]string(nil), fields...), extra...)) // writing to a bytes.Buffer never fails
	for _, s := range servers {
		row := []string{s.ID, s.Address, s.Zone, s.Pod, formatSize(s.Size), string(s.Phase), strings.Join(s.Tags, tagSeparator)}
		for _, name := range extra {
			row = append(row, s.Extra[name])
		}
		_ = w.Write(row)
	}
	w.Flush()
	writeTrailer(&out, len(servers))
	return out.Bytes()
}

// WriteYAML returns a list as YAML with a trailer. All texts are quoted, so that no parser reads a text as a number,
// Boolean or null.
func WriteYAML(servers []Server) []byte {
	var out bytes.Buffer
	out.WriteString("servers:\n")
	for _, s := range servers {
		writeYAMLServer(&out, s)
	}
	writeTrailer(&out, len(servers))
	return out.Bytes()
}

func writeYAMLServer(out *bytes.Buffer, s Server) {
	fmt.Fprintf(out, "  - id: %s\n", strconv.Quote(s.ID))
	writeText := func(name, text string) {
		if text != "" {
			fmt.Fprintf(out, "    %s: %s\n", name, strconv.Quote(text))
		}
	}
	writeText(fieldAddress, s.Address)
	writeText(fieldZone, s.Zone)
	writeText(fieldPod, s.Pod)
	writeText(fieldPhase, string(s.Phase))
	if s.Size > 0 {
		fmt.Fprintf(out, "    %s: %s\n", fieldSize, formatSize(s.Size))
	}
	if len(s.Tags) > 0 {
		quoted := make([]string, len(s.Tags))
		for i, tag := range s.Tags {
			quoted[i] = strconv.Quote(tag)
		}
		fmt.Fprintf(out, "    %s: [%s]\n", fieldTags, strings.Join(quoted, ", "))
	}
	for _, name := range extraFields([]Server{s}) {
		fmt.Fprintf(out, "    %s: %s\n", strconv.Quote(name), strconv.Quote(s.Extra[name]))
	}
}

// writeTrailer writes the comment that marks the file as complete.
func writeTrailer(out *bytes.Buffer, serverCount int) { fmt.Fprintf(out, "# end %d\n", serverCount) }

// formatSize returns a relative capacity as text, or an empty text for 0, which means that none is stated.
func formatSize(size float64) string {
	if size == 0 {
		return ""
	}
	return strconv.FormatFloat(size, 'g', -1, 64)
}

// extraFields returns the sorted names of all extra fields.
func extraFields(servers []Server) []string {
	seen := map[string]bool{}
	for _, s := range servers {
		for name := range s.Extra {
			seen[name] = true
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
