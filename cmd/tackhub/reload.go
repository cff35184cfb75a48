package main

import (
	"context"
	"log/slog"
	"os"

	"tackhub.example/tackhub/internal/config"
)

// reloadOn reads the configuration file again at each signal, while the node serves and while it drains.
func (n *node) reloadOn(ctx context.Context, ask <-chan os.Signal, running config.Config, log *slog.Logger) {
	for {
		select {
		case <-ask:
			n.reload(running, log)
		case <-ctx.Done():
			return
		}
	}
}

// reload takes over what a running node can: where discovery is. A file that is missing, half written or
// impossible changes nothing, whatever parts of it could be read.
func (n *node) reload(running config.Config, log *slog.Logger) {
	next, err := config.Reload(os.Getenv)
	if err != nil {
		log.Error("the new configuration is not taken, the running one stands", "code", "reload_failed", "error", err)
		return
	}
	if keys := running.NeedRestart(next); len(keys) > 0 {
		log.Warn("these keys have changed and need a restart", "code", "reload_restart", "keys", keys)
	}
	n.catalog.Follow(next.Discovery)
	log.Info("configuration read again", "code", "reload", "discovery", next.Discovery)
}
