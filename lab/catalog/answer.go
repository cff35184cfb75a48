package catalog

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
)

// Probabilities of the forms of an answer.
const (
	completeToWatch = 0.3 // a watch is answered with the whole list
	withoutDraining = 0.5 // a whole list leaves out the servers that drain
	repeatedNews    = 0.2 // changes contain a server that has not changed
	indented        = 0.3
	fractions       = 0.3 // whole numbers are written with a fraction
	inPieces        = 0.3
)

// maxPieces is the largest number of pieces in which an answer is written.
const maxPieces = 4

// Answer is the response to one call.
type Answer struct {
	Body     []byte
	Revision int64
	Complete bool
	Notified []Member // the servers of which the answer tells; those that a whole list leaves out are deleted
	Pieces   int      // the body is written in so many pieces
}

// Poll answers a call for the whole list.
func (c *Catalog) Poll() Answer { return c.complete() }

// Watch answers a call for the changes since a revision, of which there may be none.
func (c *Catalog) Watch(since int64) Answer {
	changed, known := c.changesSince(since)
	if !known || c.draws(completeToWatch) {
		return c.complete()
	}
	if c.draws(repeatedNews) && len(c.members) > 0 {
		repeated := c.members[c.rng.IntN(len(c.members))]
		if !slices.ContainsFunc(changed, func(m Member) bool { return m.ID == repeated.ID }) {
			changed = append(changed, repeated)
		}
	}
	return c.answer(false, changed, changed)
}

// complete answers with the whole list.
func (c *Catalog) complete() Answer {
	listed := slices.Clone(c.members)
	if c.draws(withoutDraining) {
		listed = slices.DeleteFunc(listed, func(m Member) bool { return m.Phase == PhaseDraining })
	}
	return c.answer(true, listed, append(slices.Clone(listed), c.withdrawn(listed)...))
}

// answer encodes members in a form that it draws.
func (c *Catalog) answer(complete bool, members, notified []Member) Answer {
	members = slices.Clone(members)
	c.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	pieces := 1
	if c.draws(inPieces) {
		pieces = 1 + c.rng.IntN(maxPieces)
	}
	return Answer{Body: c.encode(complete, members), Revision: c.revision, Complete: complete, Notified: notified, Pieces: pieces}
}

// encode returns a list in JSON. A list without members has them as an empty array, as null, or, if it is complete, left out.
func (c *Catalog) encode(complete bool, members []Member) []byte {
	fields := []string{fmt.Sprintf(`"revision":%d`, c.revision), fmt.Sprintf(`"complete":%v`, complete)}
	withFraction := c.draws(fractions)
	if withFraction {
		fields[0] += ".0"
	}
	entries := make([]string, 0, len(members))
	for _, m := range members {
		entries = append(entries, c.encodeMember(m, withFraction))
	}
	switch form := c.rng.IntN(3); {
	case len(members) > 0 || form == 0:
		fields = append(fields, `"members":[`+strings.Join(entries, ",")+`]`)
	case form == 1 || !complete:
		fields = append(fields, `"members":null`)
	}
	c.rng.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	raw := []byte("{" + strings.Join(fields, ",") + "}")
	if !c.draws(indented) {
		return raw
	}
	var value any
	if json.Unmarshal(raw, &value) != nil {
		return raw
	}
	if pretty, err := json.MarshalIndent(value, "", "\t"); err == nil && !withFraction { // MarshalIndent would drop the fractions
		return pretty
	}
	return raw
}

// encodeMember returns a member in JSON. Fields with a default value may be null or left out.
func (c *Catalog) encodeMember(m Member, withFraction bool) string {
	fraction := ""
	if withFraction {
		fraction = ".0"
	}
	fields := []string{
		fmt.Sprintf(`"id":%q`, m.ID),
		fmt.Sprintf(`"host_port":%q`, m.HostPort),
		fmt.Sprintf(`"phase":%q`, m.Phase),
		fmt.Sprintf(`"cell":%d%s`, m.Cell, fraction),
		fmt.Sprintf(`"size":%v`, m.Size),
		fmt.Sprintf(`"up_since_ms":%d%s`, m.UpSince, fraction),
		fmt.Sprintf(`"flavor":%q`, m.Flavor),
	}
	switch {
	case m.Locality != "":
		fields = append(fields, fmt.Sprintf(`"locality":%q`, m.Locality))
	case c.draws(0.5):
		fields = append(fields, `"locality":null`)
	}
	c.rng.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	return "{" + strings.Join(fields, ",") + "}"
}

// draws reports true with a probability.
func (c *Catalog) draws(probability float64) bool { return c.rng.Float64() < probability }

// Write writes the answer. In several pieces it is sent with chunked encoding.
func (a Answer) Write(w http.ResponseWriter) error {
	size := len(a.Body)/max(1, a.Pieces) + 1
	for piece := range slices.Chunk(a.Body, size) {
		if _, err := io.Writer(w).Write(piece); err != nil {
			return err
		}
		if flusher, ok := w.(http.Flusher); ok && a.Pieces > 1 {
			flusher.Flush()
		}
	}
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}
