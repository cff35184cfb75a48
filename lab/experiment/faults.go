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

// faults injects the scheduled faults. One event does not delay the next: a planned restart takes seconds.
func (r *run) faults(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	for _, e := range r.sched.Events {
		wait := time.NewTimer(time.Until(r.start.Add(r.scheduleStart + e.At)))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		r.mark(e)
		open.Go(func() {
			if err := r.apply(e); err != nil {
				r.mu.Lock()
				r.faultErr = errors.Join(r.faultErr, fmt.Errorf("%s: %w", e.Kind, err))
				r.mu.Unlock()
			}
		})
	}
}

// apply hands an event to whoever it concerns.
func (r *run) apply(e scenario.Event) error {
	switch {
	case e.Kind.OfLink():
		r.mesh.apply(e, time.Since(r.start))
		return nil
	case e.Kind.OfProcess():
		return r.nodes.ApplyFault(e)
	case e.Kind.OfClients():
		r.load.Apply(e)
		return nil
	}
	if err := r.fleet.ApplyFault(e); err != nil {
		return err
	}
	if e.Server >= 0 && (e.Ends || e.Kind == scenario.FaultColdReturn) {
		r.nodes.ForgetServer(r.fleet.Loads()[e.Server].ID)
	}
	return nil
}

// mark records an event. Several of one kind within half a second share a mark.
func (r *run) mark(e scenario.Event) {
	what, target := string(e.Kind), fmt.Sprintf("s%03d", e.Server)
	if e.Server < 0 {
		target = fmt.Sprintf("n%d", e.Node)
	}
	if e.Peer >= 0 {
		target += fmt.Sprintf(">n%d", e.Peer)
	}
	if e.Ends {
		what += " ends"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentEvents = append(r.recentEvents, what+" "+target)
	at := e.At.Seconds()
	if n := len(r.marks); n > 0 && at-r.marks[n-1].At < 0.5 && strings.HasPrefix(r.marks[n-1].Text, what+" ") {
		r.marks[n-1].Text += ", " + target
		return
	}
	r.marks = append(r.marks, Mark{at, what + " " + target})
}
