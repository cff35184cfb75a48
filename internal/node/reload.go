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

// maxLoggedFaults limits the log lines for one invalid file: a file in another format can have a fault
// in every line.
const maxLoggedFaults = 20

// reloadOnSignal reads the configuration file and the operator file again at each signal, also while the
// node is draining.
func (n *node) reloadOnSignal(ctx context.Context, reload <-chan os.Signal, running config.Config, operatorFile string, log *slog.Logger) {
	for {
		select {
		case <-reload:
			n.reloadConfig(running, log)
			n.reloadOperatorFile(ctx, operatorFile, log)
		case <-ctx.Done():
			return
		}
	}
}

// reloadConfig applies the changes that a running node supports: the discovery address and the shadow
// settings. A missing, incomplete or invalid file changes nothing, even if parts of it are valid.
func (n *node) reloadConfig(running config.Config, log *slog.Logger) {
	next, err := config.Reload(os.Getenv)
	if err != nil {
		log.Error("configuration not reloaded, keeping the running one", "code", "reload_failed", "error", err)
		return
	}
	if keys := running.NeedRestart(next); len(keys) > 0 {
		log.Warn("changes to these keys need a restart", "code", "reload_restart", "keys", keys)
	}
	n.discovery.SetAddress(next.Discovery)
	n.shadow.SetSettings(next.Shadow)
	log.Info("configuration reloaded", "code", "reload", "discovery", next.Discovery)
}

// loadOperatorFile reads the operator file. If path is empty, it returns nil.
func loadOperatorFile(path string) (*operator.File, error) {
	if path == "" {
		return nil, nil
	}
	return operator.Load(path, subsystem.Sections(Subsystems()))
}

// reloadOperatorFile applies a new operator file as a whole. If the file has faults, it changes nothing
// and logs the faults.
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
		log.Error("operator file not applied, keeping the running one", "code", "edge_failed", "faults", len(faults))
	case err != nil:
		log.Error("operator file not applied, keeping the running one", "code", "edge_failed", "error", err)
	default:
		log.Info("operator file applied", "code", "edge", "file", path, "on", change.Started, "off", change.Stopped, "changed", change.Restarted)
	}
}
