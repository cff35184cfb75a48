// Package config reads what a node is told at its start: the ROUTER_ variables and the configuration file
// they name. Anything missing or impossible is an error that names the key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"tackhub.example/tackhub/internal/catalog"
	"tackhub.example/tackhub/internal/settings"
)

// Limits are what the node's machine gives it.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is everything a node is told.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     catalog.List
	Settings  settings.Settings
}

type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// leastSockets are the fewest descriptors with which a node can serve: those it needs for itself, and some on
// either side.
const leastSockets = 64

// Load reads the environment and the file.
func Load(getenv func(string) string) (Config, error) {
	f, err := read(getenv("ROUTER_CONFIG"))
	if err != nil {
		return Config{}, err
	}
	f.override(getenv)
	return f.check()
}

func read(path string) (f file, err error) {
	if path == "" {
		return f, errors.New("ROUTER_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return f, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return f, fmt.Errorf("ROUTER_CONFIG: %s: %w", path, err)
	}
	return f, nil
}

// override lets the variables win over the file: they are what the machine's own manager set last.
func (f *file) override(getenv func(string) string) {
	for key, field := range map[string]*string{
		"ROUTER_NAME": &f.Name, "ROUTER_LISTEN": &f.Listen, "ROUTER_DISCOVERY": &f.Discovery,
	} {
		if v := getenv(key); v != "" {
			*field = v
		}
	}
}

func (f *file) check() (Config, error) {
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Limits: f.Limits}
	if c.Name == "" {
		return c, errors.New("ROUTER_NAME is not set, nor name in the configuration")
	}
	if err := address("ROUTER_LISTEN", "listen", c.Listen); err != nil {
		return c, err
	}
	if err := address("ROUTER_DISCOVERY", "discovery", c.Discovery); err != nil {
		return c, err
	}
	if err := f.Limits.check(); err != nil {
		return c, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", f.Seed)
	}
	if len(f.Settings) == 0 {
		return c, errors.New("settings is missing")
	}
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if len(f.Known) > 0 {
		if c.Known, err = catalog.ParseList(f.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

func (l Limits) check() error {
	switch {
	case l.Cores <= 0:
		return fmt.Errorf("limits.cores: %v is not a share of cores", l.Cores)
	case l.MemoryMB <= 0:
		return fmt.Errorf("limits.memory_mb: %v is no memory", l.MemoryMB)
	case l.Sockets < leastSockets:
		return fmt.Errorf("limits.sockets: %d is too few, %d are needed", l.Sockets, leastSockets)
	}
	return nil
}

func address(variable, key, value string) error {
	if value == "" {
		return fmt.Errorf("%s is not set, nor %s in the configuration", variable, key)
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("%s: %w", variable, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q is not an IP address: there is no name service", variable, host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%s: %q is not a port", variable, port)
	}
	return nil
}
