package config

import "reflect"

// Reload reads the file again for a node that runs. The file's discovery now wins over the variable, which tells
// what was so at the start; all else is read and checked as then.
func Reload(getenv func(string) string) (Config, error) {
	f, err := read(getenv("ROUTER_CONFIG"))
	if err != nil {
		return Config{}, err
	}
	told := f.Discovery
	f.override(getenv)
	if told != "" {
		f.Discovery = told
	}
	return f.check()
}

// NeedRestart names the keys that differ from what runs and that a running node can't take over: its address and
// its limits are the process's, and the module is told its settings once. The seed and the list as known are for
// a start only.
func (c Config) NeedRestart(next Config) []string {
	keys := []string{}
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"limits", c.Limits == next.Limits},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}
