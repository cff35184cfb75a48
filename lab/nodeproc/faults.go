package nodeproc

import (
	"errors"
	"os"
	"syscall"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/scenario"
)

// ApplyFault begins or ends a fault of a node. A planned restart or replacement returns once the next process is
// healthy.
func (g *Group) ApplyFault(e scenario.Event) error {
	n := g.nodes[e.Node]
	if e.Ends {
		return n.endFault(e.Kind)
	}
	switch e.Kind {
	case scenario.FaultDiskLost:
		n.recordOutage(true)
		return errors.Join(n.kill(), os.RemoveAll(n.dataDir))
	case scenario.FaultNodeKill:
		n.recordOutage(true)
		return n.kill()
	case scenario.FaultNodeStop:
		n.recordOutage(true)
		return n.signal(syscall.SIGSTOP)
	case scenario.FaultNodeReplace:
		return n.replace(e.Fault.FollowUpSignals)
	case scenario.FaultNodePause:
		return n.pause(e.Fault.For)
	case scenario.FaultNodeRestart: // planned: nothing may be lost, so it is no outage
		if err := n.stop(); err != nil {
			return err
		}
		return n.start()
	}
	return nil
}

// endFault ends a fault that lasts for a time. The other kinds have no end of their own.
func (n *Node) endFault(kind scenario.FaultKind) error {
	switch kind {
	case scenario.FaultNodeKill, scenario.FaultDiskLost:
		var err error
		if n.dataDir != "" {
			err = os.MkdirAll(n.dataDir, 0o700)
		}
		err = errors.Join(err, n.start())
		n.recordOutage(false)
		return err
	case scenario.FaultNodeStop:
		err := n.signal(syscall.SIGCONT)
		n.recordOutage(false)
		return err
	}
	return nil
}

// recordDowntime records the begin or the end of a time in which the node has no running process: none at all, or one
// that is suspended. A begin within a downtime changes nothing, nor does an end outside of one.
func (n *Node) recordDowntime(begins, suspended bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := len(n.downtimes) - 1
	switch open := last >= 0 && n.downtimes[last].To == stillOpen; {
	case begins && !open:
		n.downtimes = append(n.downtimes, audit.Downtime{Node: n.index, From: n.group.now(), To: stillOpen, Suspended: suspended})
	case !begins && open:
		n.downtimes[last].To = n.group.now()
	}
}

// stillOpen is the end of a downtime that has not ended yet.
const stillOpen = time.Duration(1<<63 - 1)

// recordOutage records the begin or the end of a time in which a node cannot act. After its end the auditor leaves the
// node another half second to catch up.
func (n *Node) recordOutage(begins bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if begins {
		n.healthy.Store(false)
		n.outages = append(n.outages, audit.Outage{Node: n.index, From: n.group.now(), To: time.Hour})
		return
	}
	n.healthy.Store(true)
	if i := len(n.outages) - 1; i >= 0 {
		n.outages[i].To = n.group.now() + 500*time.Millisecond
	}
}

// signalInterval is the time between the signals that follow SIGTERM in a planned stop.
const signalInterval = 120 * time.Millisecond

// signals are those that may follow SIGTERM, by their names in a scenario.
var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM,
	"INT":  syscall.SIGINT,
	"HUP":  syscall.SIGHUP,
	"USR1": syscall.SIGUSR1,
}

// replace ends a process as planned and starts the next. The given signals follow SIGTERM one by one; SIGKILL comes
// once the scenario's time for a planned stop is over.
func (n *Node) replace(followUps []string) error {
	if err := n.signal(syscall.SIGTERM); err != nil {
		return err
	}
	at := time.Now()
	n.stoppingSince.Store(int64(n.group.now()))
	defer n.stoppingSince.Store(0)
	if n.group.options.OnStop != nil {
		n.group.options.OnStop(n.index, n.addr, at)
	}
	done := n.exited()
	kill := time.NewTimer(time.Until(at.Add(n.group.options.Scenario.KillAfter())))
	defer kill.Stop()
	followUp := time.NewTicker(signalInterval)
	defer followUp.Stop()
	for {
		select {
		case <-done:
			return n.start()
		case <-kill.C:
			n.mu.Lock()
			n.killedStops++
			n.mu.Unlock()
			return errors.Join(n.kill(), n.start())
		case <-followUp.C:
			if len(followUps) > 0 {
				_ = n.signal(signals[followUps[0]]) // it may have ended meanwhile
				followUps = followUps[1:]
			}
		}
	}
}

// pause suspends a process for a moment. Unlike an outage it leaves the rules in force: the auditor only lets responses
// be later by as much.
func (n *Node) pause(d time.Duration) error {
	n.mu.Lock()
	process := n.cmd.Process
	n.mu.Unlock()
	from := n.group.now()
	if process.Signal(syscall.SIGSTOP) != nil {
		return nil // it has ended
	}
	time.Sleep(d)
	_ = process.Signal(syscall.SIGCONT) // it may have been killed meanwhile
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pauses = append(n.pauses, audit.Pause{Node: n.index, From: from, To: n.group.now()})
	return nil
}

// StoppingFor is how long a node's planned stop has been going on; 0 where none is.
func (g *Group) StoppingFor(node int) time.Duration {
	since := g.nodes[node].stoppingSince.Load()
	if since == 0 {
		return 0
	}
	return g.now() - time.Duration(since)
}
