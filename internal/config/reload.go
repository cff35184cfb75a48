package config

import (
	"errors"
	"reflect"
	"slices"

	"tackhub.example/tackhub/internal/configpos"
)

// Reload reads the configuration file again for a running node. The file's discovery address overrides
// ROUTER_DISCOVERY, which still has the value from the start of the process. Everything else is read and
// checked as at a start.
func Reload(getenv func(string) string) (Config, error) {
	path := getenv("ROUTER_CONFIG")
	f, raw, fault := readFile(path)
	if fault != nil {
		return Config{}, errors.New(oneLine(*fault))
	}
	fileDiscovery := f.Discovery
	f.applyEnvironment(getenv)
	if fileDiscovery != "" {
		f.Discovery = fileDiscovery
	}
	c, faults := f.validate(path, configpos.JSON(raw))
	if len(faults) > 0 {
		return Config{}, errors.New(oneLine(faults[0]))
	}
	return c, nil
}

// NeedRestart returns the changed keys that a running node cannot apply: the addresses and limits belong
// to the process, and the balancer receives its settings only at the start. Changes of the discovery
// address and of the shadow settings are applied at once. The keys seed and known are used only at a
// start and are not compared.
func (c Config) NeedRestart(next Config) []string {
	keys := []string{}
	for _, key := range []struct {
		name      string
		unchanged bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"operator", c.AdminAddress == next.AdminAddress},
		{"limits", c.Limits == next.Limits},
		{"peers", slices.Equal(c.GossipNodes, next.GossipNodes)},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !key.unchanged {
			keys = append(keys, key.name)
		}
	}
	return keys
}
