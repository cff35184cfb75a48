package config

import (
	"errors"
	"reflect"
	"slices"

	"tackhub.example/tackhub/internal/configpos"
)

// Reload reads the file again for a node that runs. The file's discovery address wins over
// ROUTER_DISCOVERY, which holds the value at the start; all else is read and checked as at a start.
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

// NeedRestart names the keys that differ from what runs and that a running node can't take over: its
// address and its limits are the process's, and the balancer gets its settings only at the start.
// Discovery and the shadow settings are taken over at once; seed and known are for a start only.
func (c Config) NeedRestart(next Config) []string {
	keys := []string{}
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"operator", c.AdminAddress == next.AdminAddress},
		{"limits", c.Limits == next.Limits},
		{"peers", slices.Equal(c.GossipNodes, next.GossipNodes)},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}
