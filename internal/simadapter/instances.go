package simadapter

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/settings"
)

// instance is one balancer with the indexes of its load report figures. Instances share no state.
type instance struct {
	balancer *balancer.Balancer
	indexes  ReportIndexes
}

// Instances holds many balancers that are served over one input and one output stream.
type Instances struct {
	byID   map[int]*instance
	lists  map[int][]Entry // endpoint lists by number; each instance gets its own translated copy
	errOut io.Writer
}

// NewInstances returns an empty set of instances. Error messages are written to errOut.
func NewInstances(errOut io.Writer) *Instances {
	return &Instances{byID: map[int]*instance{}, lists: map[int][]Entry{}, errOut: errOut}
}

// Serve reads batches, one per line, and writes a reply to each, until the input ends or a line is invalid.
func (s *Instances) Serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<20)
	writer := bufio.NewWriterSize(out, 1<<16)
	encoder := json.NewEncoder(writer)
	encoder.SetEscapeHTML(false)
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadBytes('\n')
		if len(line) == 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		batch, parseErr := ParseBatch(line)
		if parseErr != nil {
			return fmt.Errorf("line %d: %w", lineNumber, parseErr)
		}
		if err := encoder.Encode(s.HandleBatch(batch)); err != nil {
			return fmt.Errorf("reply to line %d: %w", lineNumber, err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("reply to line %d: %w", lineNumber, err)
		}
	}
}

// HandleBatch passes the events of a batch to their instances and returns the actions.
func (s *Instances) HandleBatch(b Batch) Reply {
	reply := Reply{Serial: b.Serial, Parts: []ReplyPart{}}
	for i := range b.Parts {
		part := &b.Parts[i]
		var decisions []any
		for j := range part.Items {
			decisions = append(decisions, s.handleEvent(b.Now, part.Node, &part.Items[j])...)
		}
		if len(decisions) > 0 {
			reply.Parts = append(reply.Parts, ReplyPart{part.Node, decisions})
		}
	}
	return reply
}

// handleEvent handles one event of an instance and returns the encoded actions. Events of unknown instances are ignored.
func (s *Instances) handleEvent(now float64, id int, e *Event) []any {
	switch e.Type {
	case "pool":
		s.lists[e.ListNumber] = e.Members
		return nil
	case "hello":
		return s.createInstance(id, e)
	case "destroy":
		delete(s.byID, id)
		return nil
	}
	target := s.byID[id]
	if target == nil {
		return nil
	}
	var lists map[int][]balancer.Endpoint
	if e.Type == "announce" {
		lists = map[int][]balancer.Endpoint{e.ListNumber: Entries(s.lists[e.ListNumber])}
	}
	event := Translate(e, lists, target.indexes)
	if event == nil {
		return nil
	}
	var encoded []any
	for _, a := range target.balancer.Step(now, event) {
		encoded = append(encoded, Encode(a))
	}
	return encoded
}

// createInstance creates an instance with the settings of a hello event and replaces an earlier one with the same id. If the
// settings are invalid, it returns an internal error.
func (s *Instances) createInstance(id int, e *Event) []any {
	delete(s.byID, id)
	parsed, err := settings.Parse(e.Options)
	var b *balancer.Balancer
	if err == nil {
		b, err = balancer.New(parsed.Balancer, e.Nonce)
	}
	if err != nil {
		fmt.Fprintf(s.errOut, "instance %d: %v\n", id, err)
		return []any{InternalError(err.Error())}
	}
	s.byID[id] = &instance{balancer: b, indexes: ReportIndexes{parsed.InFlightIndex, parsed.QueuedIndex}}
	return nil
}
