package node

import (
	"context"
	"errors"
	"log/slog"
	"os"

	"tackhub.example/tackhub/internal/config"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// maxLoggedFaults bounds the lines for one bad file: a file of another kind has a fault in every line.
const maxLoggedFaults = 20

// reloadOnSignal reads the configuration file again at each signal, while the node serves and while it
// drains.
func (n *node) reloadOnSignal(ctx context.Context, ask <-chan os.Signal, running config.Config, operatorFile string, log *slog.Logger) {
	for {
		select {
		case <-ask:
			n.reloadConfig(running, log)
			n.reloadOperatorFile(ctx, operatorFile, log)
		case <-ctx.Done():
			return
		}
	}
}

// reloadConfig takes over what a running node can: where discovery is. A file that is missing, half
// written or impossible changes nothing, whatever parts of it could be read.
func (n *node) reloadConfig(running config.Config, log *slog.Logger) {
	next, err := config.Reload(os.Getenv)
	if err != nil {
		log.Error("the new configuration is not taken, the running one stands", "code", "reload_failed", "error", err)
		return
	}
	if keys := running.NeedRestart(next); len(keys) > 0 {
		log.Warn("these keys have changed and need a restart", "code", "reload_restart", "keys", keys)
	}
	n.discovery.SetAddress(next.Discovery)
	n.shadow.SetSettings(next.Shadow)
	log.Info("configuration read again", "code", "reload", "discovery", next.Discovery)
}

// loadOperatorFile reads the operator file; nil where there is none.
func loadOperatorFile(path string) (*operator.File, error) {
	if path == "" {
		return nil, nil
	}
	return operator.Load(path, subsystem.Sections(Subsystems()))
}

// reloadOperatorFile takes a new operator file whole, or leaves everything as it is and names each
// fault.
func (n *node) reloadOperatorFile(ctx context.Context, path string, log *slog.Logger) {
	if path == "" {
		return
	}
	file, err := loadOperatorFile(path)
	var change subsystem.Change
	if err == nil {
		change, err = n.subsystems.Apply(ctx, file)
	}
	var faults operator.Diagnostics
	switch {
	case errors.As(err, &faults):
		for _, f := range faults[:min(len(faults), maxLoggedFaults)] {
			log.Error("fault in the operator file", "code", "edge_fault", "file", f.File, "line", f.Line, "key", f.Key, "error", f.Message)
		}
		log.Error("the new operator file is not taken, the running one stands", "code", "edge_failed", "faults", len(faults))
	case err != nil:
		log.Error("the new operator file is not taken, the running one stands", "code", "edge_failed", "error", err)
	default:
		log.Info("operator file taken", "code", "edge", "file", path, "on", change.Started, "off", change.Stopped, "changed", change.Restarted)
	}
}
