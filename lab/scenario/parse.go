package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Load reads and validates a scenario file. Overrides have the form key=value, as in Parse.
func Load(path string, overrides ...string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(string(raw), overrides...)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads and validates a scenario. An override has the form key=value with a dotted key, such as fleet.servers=30. It
// replaces the value that the text sets for the key.
func Parse(text string, overrides ...string) (*Scenario, error) {
	s := defaults()
	for _, o := range overrides {
		if key, _, ok := strings.Cut(o, "="); !ok || strings.TrimSpace(key) == "" {
			return nil, fmt.Errorf("override %q does not have the form key=value", o)
		}
	}
	if err := decode(text, s); err != nil {
		return nil, err
	}
	for _, o := range overrides {
		if err := override(o, s); err != nil {
			return nil, fmt.Errorf("override %q: %w", o, err)
		}
	}
	return s, s.check()
}

// decode reads TOML into a scenario and rejects unknown keys.
func decode(text string, s *Scenario) error {
	metadata, err := toml.Decode(text, s)
	if err != nil {
		return err
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("unknown key %s", unknown[0])
	}
	return nil
}

// override sets one key. If the value is not valid TOML, it is used as a string.
func override(assignment string, s *Scenario) error {
	key, value, _ := strings.Cut(assignment, "=")
	switch strings.TrimSpace(key) { // lists are cleared first, because the decoder would merge the new entries into the old ones
	case "fault":
		s.Faults = nil
	case "load":
		s.Load = nil
	case "class":
		s.Classes = nil
	}
	line := key + " = " + value
	if err := decode(line, s); err == nil {
		return nil
	}
	return decode(key+" = "+strconv.Quote(value), s)
}

// defaults returns a scenario with the default values of all optional keys.
func defaults() *Scenario {
	return &Scenario{
		Seed: 1, Warmup: 2 * time.Second, Duration: 10 * time.Second, MaxSendDelay: 5 * time.Millisecond,
		Fleet: Fleet{Servers: 12, Zones: []string{"a", "b"}, PodSize: 3, Cores: 1, Speed: 1, QueueMax: 64, SlowdownFactor: 1,
			InitialSpeed: 0.3, SlowStartDuration: 6 * time.Second, CollapseMultiple: 3, CollapseWindow: time.Second, MaxConns: 256, Reports: true},
		Nodes: Nodes{Count: 2, Kind: "tackhub", Cores: 1, MemoryMB: 192, Sockets: 1024, DrainGrace: 1500 * time.Millisecond,
			Attempts: 4, DiscoveryDelay: 200 * time.Millisecond},
		Clients: Clients{Tenants: 8, Zipf: 1, Retry: "none", Backoff: 50 * time.Millisecond, MarksRetry: true, Devices: 64},
		Expect:  Expectations{Window: 2 * time.Second},
	}
}
