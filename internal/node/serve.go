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

// Serve runs one node until a signal stops it. The configuration comes from the environment.
// operatorFile is the path of the operator file, or empty if there is none. Serve returns an error if
// the node cannot start, with a text of one line, or if its listener fails.
func Serve(operatorFile string) error {
	signals := notifySignals() // before anything else, since a stop signal may arrive immediately
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	running := c // the configuration before the changes below, for comparison at a reload
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
	acquired, err := acquireListener(&c, log)
	if err != nil {
		return err
	}
	n, err := newServingNode(c, acquired.successor, log, count)
	if err != nil {
		return err
	}
	logStart(c, acquired.listener, log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.startAll(ctx, file, acquired.state, log); err != nil {
		return err
	}
	go n.stopOnSignals(signals.stop, acquired.listener, log)
	go n.reportOnSignal(ctx, signals.report, log)
	go n.reloadOnSignal(ctx, signals.reload, running, operatorFile, log)
	n.discovery.AwaitFirstResponse(ctx)
	n.upgrade.serve(ctx, c.Listen, id, acquired.listener)
	n.serving.Store(true)
	err = n.ingress.Serve(acquired.listener)
	n.subsystems.Stop()
	<-n.inFlight.Empty() // requests of all protocols: no received request is aborted
	cancel()
	n.waitBackground()
	n.logEnd(sink.Waiting().Logger(c.Name)) // waits for space in the log queue, so that the last lines are not dropped
	return err
}

// newServingNode builds a node with its upgrade state, its subsystems and its administrators' listener.
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

// startAll starts everything except the clients' listener.
func (n *node) startAll(ctx context.Context, file *operator.File, state *handoverState, log *slog.Logger) error {
	n.upgrade.startAsSuccessor(state)
	n.startBackground(ctx)
	if file != nil {
		change, err := n.subsystems.Apply(ctx, file)
		if err != nil {
			return err
		}
		log.Info("operator file applied", "code", "edge", "file", file.Path, "on", change.Started)
	}
	n.followDiscovery(ctx)
	return nil
}

// subsystemHost returns the parts of the node that the subsystems may use.
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
		"tmpdir", os.Getenv("TMPDIR"), // empty: large requests and handover are off
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
