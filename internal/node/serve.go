package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"os"

	"tackhub.example/tackhub/internal/admin"
	"tackhub.example/tackhub/internal/config"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/handover"
	"tackhub.example/tackhub/internal/logs"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// Serve runs one node until a signal ends it. The environment tells it everything but the operator
// file, whose path is empty where it has none. An error is why the node could not start, in one
// line, or why its listener broke.
func Serve(operatorFile string) error {
	signals := notifySignals() // before anything that takes time: a stop may come at once
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	running := c // as it was configured, to compare a new file with
	c.Limits.Sockets = applyLimits(c.Limits)
	count := &counters.Counters{}
	sink := logs.NewSink(os.Stderr, &count.LogLines.Dropped)
	defer sink.Close()
	log := sink.Logger(c.Name)
	file, err := loadOperatorFile(operatorFile)
	if err != nil {
		return err
	}
	id := identity(&c)
	taken, err := acquireListener(&c, log)
	if err != nil {
		return err
	}
	n, err := newServingNode(c, taken.successor, log, count)
	if err != nil {
		return err
	}
	logStart(c, taken.listener, log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.startAll(ctx, file, taken.state, log); err != nil {
		return err
	}
	go n.stopOnSignals(signals.stop, taken.listener, log)
	go n.reportOnSignal(ctx, signals.report, log)
	go n.reloadOnSignal(ctx, signals.reload, running, operatorFile, log)
	n.upgrade.serve(ctx, c.Listen, id, taken.listener)
	n.serving.Store(true)
	err = n.ingress.Serve(taken.listener)
	n.subsystems.Stop()
	<-n.inFlight.Empty() // over whichever protocol: no request that was received is cut off
	cancel()
	n.waitBackground()
	n.logEnd(sink.Waiting().Logger(c.Name)) // the last lines wait for their place in the log
	return err
}

// newServingNode is a node with its upgrade, its subsystems and its administrators' listener.
func newServingNode(c config.Config, successor *handover.Successor, log *slog.Logger, count *counters.Counters) (*node, error) {
	n, err := newNode(c, log, count)
	if err != nil {
		return nil, err
	}
	n.upgrade = newUpgrade(n, c.Limits, successor, log)
	n.subsystems = subsystem.NewManager(Subsystems(), subsystemHost(n, c, log, count))
	if c.AdminAddress != "" {
		n.admin, err = admin.Listen(c.AdminAddress, n, log, count)
	}
	return n, err
}

// startAll starts everything but the clients' listener.
func (n *node) startAll(ctx context.Context, file *operator.File, state *transferredNode, log *slog.Logger) error {
	n.upgrade.begin(state)
	n.startBackground(ctx)
	if file != nil {
		change, err := n.subsystems.Apply(ctx, file)
		if err != nil {
			return err
		}
		log.Info("operator file taken", "code", "edge", "file", file.Path, "on", change.Started)
	}
	n.followDiscovery(ctx)
	return nil
}

// subsystemHost is what a node gives its subsystems.
func subsystemHost(n *node, c config.Config, log *slog.Logger, count *counters.Counters) subsystem.Host {
	return subsystem.Host{
		Log:      log,
		Node:     n,
		Counters: func() json.RawMessage { return count.JSON() },
		Limits: subsystem.Limits{
			MemoryBytes: int64(c.Limits.MemoryMB * bytesPerMB),
			Descriptors: c.Limits.Sockets,
		},
	}
}

func logStart(c config.Config, listener net.Listener, log *slog.Logger) {
	log.Info("serving", "code", "start",
		"listen", listener.Addr().String(),
		"discovery", c.Discovery,
		"operator", c.AdminAddress,
		"tmpdir", os.Getenv("TMPDIR"), // empty: no large requests, no handover
		"known", len(c.Known.Members),
		"cores", c.Limits.Cores,
		"memory_mb", c.Limits.MemoryMB,
		"sockets", c.Limits.Sockets)
}

func (n *node) logEnd(log *slog.Logger) {
	n.logShutdown(log)
	n.logCounters(log)
	log.Info("ended", "code", "end")
}
