package experiment

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"tackhub.example/tackhub/lab/scenario"
)

// injectFaults injects the scheduled faults. Each event has its own goroutine, so that a planned restart, which takes
// seconds, does not delay later events.
func (r *run) injectFaults(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for _, e := range r.sched.Events {
		timer := time.NewTimer(time.Until(r.start.Add(r.scheduleStart + e.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		r.addMark(e)
		pending.Go(func() {
			if err := r.applyFault(e); err != nil {
				r.mu.Lock()
				r.faultErr = errors.Join(r.faultErr, fmt.Errorf("%s: %w", e.Kind, err))
				r.mu.Unlock()
			}
		})
	}
}

// applyFault applies an event to the links, nodes, clients or servers that it affects.
func (r *run) applyFault(e scenario.Event) error {
	switch {
	case e.Kind.AffectsLink():
		r.mesh.applyFault(e, time.Since(r.start))
		return nil
	case e.Kind.AffectsProcess():
		return r.nodes.ApplyFault(e)
	case e.Kind.AffectsClients():
		r.load.Apply(e)
		return nil
	}
	if err := r.fleet.ApplyFault(e); err != nil {
		return err
	}
	if e.Server >= 0 && (e.Ends || e.Kind == scenario.FaultColdReturn) {
		r.nodes.ClearEjected(r.fleet.Loads()[e.Server].ID)
	}
	return nil
}

// addMark records an event for the report. Events of the same kind within half a second are combined into one mark.
func (r *run) addMark(e scenario.Event) {
	event, target := string(e.Kind), fmt.Sprintf("s%03d", e.Server)
	if e.Server < 0 {
		target = fmt.Sprintf("n%d", e.Node)
	}
	if e.Peer >= 0 {
		target += fmt.Sprintf(">n%d", e.Peer)
	}
	if e.Ends {
		event += " ends"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentEvents = append(r.recentEvents, event+" "+target)
	seconds := e.At.Seconds()
	if n := len(r.marks); n > 0 && seconds-r.marks[n-1].At < 0.5 && strings.HasPrefix(r.marks[n-1].Text, event+" ") {
		r.marks[n-1].Text += ", " + target
		return
	}
	r.marks = append(r.marks, Mark{seconds, event + " " + target})
}
