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

// instance is one balancer and how its load reports are read; nothing in it is shared.
type instance struct {
	balancer *balancer.Balancer
	indexes  ReportIndexes
}

// Instances are many balancers behind one pair of streams.
type Instances struct {
	byID  map[int]*instance
	lists map[int][]Entry // raw lists: each instance gets entries of its own
	errs  io.Writer
}

// NewInstances makes an empty set; plain messages go to errs.
func NewInstances(errs io.Writer) *Instances {
	return &Instances{byID: map[int]*instance{}, lists: map[int][]Entry{}, errs: errs}
}

// Serve answers batches until the input ends.
func (all *Instances) Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<16)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	for number := 1; ; number++ {
		line, err := r.ReadBytes('\n')
		if len(line) == 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		batch, perr := ParseBatch(line)
		if perr != nil {
			return fmt.Errorf("line %d: %w", number, perr)
		}
		if err := enc.Encode(all.Batch(batch)); err != nil {
			return fmt.Errorf("reply to line %d: %w", number, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply to line %d: %w", number, err)
		}
	}
}

// Batch answers one batch.
func (all *Instances) Batch(b Batch) Reply {
	reply := Reply{Serial: b.Serial, Parts: []ReplyPart{}}
	for i := range b.Parts {
		p := &b.Parts[i]
		var decisions []any
		for j := range p.Items {
			decisions = append(decisions, all.event(b.Now, p.Node, &p.Items[j])...)
		}
		if len(decisions) > 0 {
			reply.Parts = append(reply.Parts, ReplyPart{p.Node, decisions})
		}
	}
	return reply
}

func (all *Instances) event(now float64, id int, e *Event) []any {
	switch e.What {
	case "pool":
		all.lists[e.Ref] = e.Members
		return nil
	case "hello":
		return all.hello(id, e)
	case "destroy":
		delete(all.byID, id)
		return nil
	}
	i := all.byID[id]
	if i == nil {
		return nil
	}
	var lists map[int][]balancer.Endpoint
	if e.What == "announce" {
		lists = map[int][]balancer.Endpoint{e.Ref: Entries(all.lists[e.Ref])}
	}
	event := Translate(e, lists, i.indexes)
	if event == nil {
		return nil
	}
	var out []any
	for _, a := range i.balancer.Step(now, event) {
		out = append(out, Encode(a))
	}
	return out
}

func (all *Instances) hello(id int, e *Event) []any {
	delete(all.byID, id)
	set, err := settings.Parse(e.Options)
	var b *balancer.Balancer
	if err == nil {
		b, err = balancer.New(set.Balancer, e.Nonce)
	}
	if err != nil {
		fmt.Fprintf(all.errs, "instance %d: %v\n", id, err)
		return []any{InternalError(err.Error())}
	}
	all.byID[id] = &instance{balancer: b, indexes: ReportIndexes{set.InFlightIndex, set.QueuedIndex}}
	return nil
}
