package nodeproc

import (
	"errors"
	"os"
	"syscall"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/scenario"
)

// ApplyFault starts or ends a fault of a node. For a planned restart or replacement it returns when the next process is
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
	case scenario.FaultNodeRestart: // not an outage: a planned restart must not lose requests
		if err := n.stop(); err != nil {
			return err
		}
		return n.start()
	}
	return nil
}

// endFault ends a fault that has a duration. Other kinds of faults need no action at their end.
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

// recordDowntime records the start or the end of a downtime, in which the node has no process or a suspended one. It has no
// effect if the node is already in that state.
func (n *Node) recordDowntime(begins, suspended bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := len(n.downtimes) - 1
	switch inDowntime := last >= 0 && n.downtimes[last].To == ongoing; {
	case begins && !inDowntime:
		n.downtimes = append(n.downtimes, audit.Downtime{Node: n.index, From: n.group.now(), To: ongoing, Suspended: suspended})
	case !begins && inDowntime:
		n.downtimes[last].To = n.group.now()
	}
}

// ongoing is the recorded end time of a downtime that has not ended yet.
const ongoing = time.Duration(1<<63 - 1)

// recordOutage records the start or the end of an outage, in which a node cannot act. The recorded end is 500 ms after the
// actual one, so that the auditor gives the node time to recover.
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

// signalInterval is the interval between the follow-up signals after SIGTERM in a planned stop.
const signalInterval = 120 * time.Millisecond

// signals maps the names of follow-up signals in a scenario to the signals.
var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM,
	"INT":  syscall.SIGINT,
	"HUP":  syscall.SIGHUP,
	"USR1": syscall.SIGUSR1,
}

// replace performs a planned stop of the process and starts the next one. After SIGTERM it sends one follow-up signal per
// signalInterval. It sends SIGKILL if the process is still running after Scenario.KillAfter.
func (n *Node) replace(followUps []string) error {
	if err := n.signal(syscall.SIGTERM); err != nil {
		return err
	}
	sigtermAt := time.Now()
	n.stoppingSince.Store(int64(n.group.now()))
	defer n.stoppingSince.Store(0)
	if n.group.options.OnStop != nil {
		n.group.options.OnStop(n.index, n.addr, sigtermAt)
	}
	done := n.exited()
	kill := time.NewTimer(time.Until(sigtermAt.Add(n.group.options.Scenario.KillAfter())))
	defer kill.Stop()
	followUpTicker := time.NewTicker(signalInterval)
	defer followUpTicker.Stop()
	for {
		select {
		case <-done:
			return n.start()
		case <-kill.C:
			n.mu.Lock()
			n.killedStops++
			n.mu.Unlock()
			return errors.Join(n.kill(), n.start())
		case <-followUpTicker.C:
			if len(followUps) > 0 {
				_ = n.signal(signals[followUps[0]]) // ignore the error: the process may have exited in the meantime
				followUps = followUps[1:]
			}
		}
	}
}

// pause suspends a process for the given time. Unlike an outage, it does not exempt the node from the auditor's rules: the
// auditor only allows responses to be late by the length of the pause.
func (n *Node) pause(d time.Duration) error {
	n.mu.Lock()
	process := n.cmd.Process
	n.mu.Unlock()
	from := n.group.now()
	if process.Signal(syscall.SIGSTOP) != nil {
		return nil // the process has exited
	}
	time.Sleep(d)
	_ = process.Signal(syscall.SIGCONT) // ignore the error: the process may have been killed in the meantime
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pauses = append(n.pauses, audit.Pause{Node: n.index, From: from, To: n.group.now()})
	return nil
}

// StoppingFor returns the time since a node's planned stop began, or 0 if none is in progress.
func (g *Group) StoppingFor(node int) time.Duration {
	since := g.nodes[node].stoppingSince.Load()
	if since == 0 {
		return 0
	}
	return g.now() - time.Duration(since)
}
