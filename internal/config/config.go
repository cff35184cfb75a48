// Package config reads a node's configuration: the ROUTER_ variables and the configuration file that
// they name. Anything missing or impossible is an error that names the key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/configpos"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/settings"
)

// Limits are what the node's machine gives it.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is everything that a node is configured with.
type Config struct {
	Name         string
	Listen       string
	Discovery    string
	AdminAddress string // address of the administrators' listener; empty: none
	Seed         uint64
	Limits       Limits
	Known        discovery.List
	Settings     settings.Settings
	GossipNodes  []netip.AddrPort   // of all nodes, by number; none where they send no messages
	Shadow       *balancer.Settings // evaluated beside those in force; nil: none
}

// file is the configuration file. Its JSON names are the operators'.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Operator  string          `json:"operator"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Peers     struct {
		Nodes []string `json:"nodes"`
	} `json:"peers"`
	Watch string `json:"watch"`
}

// minSockets are the fewest descriptors with which a node can serve: those that it needs for itself,
// and some on either side.
const minSockets = 64

// Load reads the environment and the file. The error is the first fault, in one line that names the
// key.
func Load(getenv func(string) string) (Config, error) {
	c, faults := Check(getenv)
	if len(faults) > 0 {
		return Config{}, errors.New(oneLine(faults[0]))
	}
	return c, nil
}

// Check reads the environment and the file, and returns every fault with its line.
func Check(getenv func(string) string) (Config, []operator.Diagnostic) {
	path := getenv("ROUTER_CONFIG")
	f, raw, fault := readFile(path)
	if fault != nil {
		return Config{}, []operator.Diagnostic{*fault}
	}
	f.applyEnvironment(getenv)
	return f.validate(path, configpos.JSON(raw))
}

// oneLine is a fault as a start prints it, the key first.
func oneLine(f operator.Diagnostic) string {
	if f.Key == "" {
		return f.Message
	}
	return f.Key + ": " + f.Message
}

func readFile(path string) (f file, raw []byte, fault *operator.Diagnostic) {
	if path == "" {
		return f, nil, &operator.Diagnostic{Message: "ROUTER_CONFIG is not set"}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return f, nil, &operator.Diagnostic{Key: "ROUTER_CONFIG", Message: err.Error()}
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return f, nil, syntaxFault(path, raw, err)
	}
	return f, raw, nil
}

// syntaxFault is the fault of a text that is no configuration.
func syntaxFault(path string, raw []byte, err error) *operator.Diagnostic {
	f := &operator.Diagnostic{File: path, Key: "ROUTER_CONFIG", Message: path + ": " + err.Error()}
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		f.Line = configpos.LineAt(raw, syntax.Offset)
	case errors.As(err, &kind):
		f.Line = configpos.LineAt(raw, kind.Offset)
	}
	return f
}

// applyEnvironment lets the variables win over the file: they are what the machine's own manager
// set last.
func (f *file) applyEnvironment(getenv func(string) string) {
	for key, field := range map[string]*string{
		"ROUTER_NAME": &f.Name, "ROUTER_LISTEN": &f.Listen, "ROUTER_DISCOVERY": &f.Discovery,
		"ROUTER_OPERATOR": &f.Operator,
	} {
		if v := getenv(key); v != "" {
			*field = v
		}
	}
}

// validate reads every part, and returns every fault.
func (f *file) validate(path string, lines configpos.Lines) (Config, []operator.Diagnostic) {
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, AdminAddress: f.Operator, Limits: f.Limits}
	var faults []operator.Diagnostic
	fault := func(at, key, format string, args ...any) {
		faults = append(faults, operator.Diagnostic{File: path, Line: lines.Line(at), Key: key, Message: fmt.Sprintf(format, args...)})
	}
	if c.Name == "" {
		fault("name", "", "ROUTER_NAME is not set, nor name in the configuration")
	}
	if err := checkAddress("ROUTER_LISTEN", "listen", c.Listen); err != nil {
		fault("listen", "", "%v", err)
	}
	if err := checkAddress("ROUTER_DISCOVERY", "discovery", c.Discovery); err != nil {
		fault("discovery", "", "%v", err)
	}
	if c.AdminAddress != "" {
		if err := checkAddress("ROUTER_OPERATOR", "operator", c.AdminAddress); err != nil {
			fault("operator", "", "%v", err)
		}
	}
	for _, l := range f.Limits.validate() {
		fault(l.Key, l.Key, "%s", l.Message)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		fault("seed", "seed", "%q is not a hexadecimal number of 64 bits", f.Seed)
	}
	if len(f.Settings) == 0 {
		fault("settings", "", "settings is missing")
	} else if c.Settings, err = settings.Parse(f.Settings); err != nil {
		for _, e := range settings.All(err) {
			fault("settings."+e.Key, "settings", "%v", e)
		}
	}
	c.GossipNodes = f.gossipNodes(c.Settings.Balancer, fault)
	if f.Watch != "" {
		var wrong []operator.Diagnostic
		c.Shadow, wrong = loadShadowSettings(path, f.Watch)
		faults = append(faults, wrong...)
	}
	if len(f.Known) > 0 {
		if c.Known, err = discovery.ParseList(f.Known); err != nil {
			fault("known", "known", "%v", err)
		}
	}
	return c, faults
}

// gossipNodes are the nodes' addresses, needed where the settings allow gossip.
func (f *file) gossipNodes(set balancer.Settings, fault func(at, key, format string, args ...any)) []netip.AddrPort {
	if !set.GossipAllowed && len(f.Peers.Nodes) == 0 {
		return nil
	}
	switch n := len(f.Peers.Nodes); {
	case n == 0:
		fault("settings.policy_limits.peers", "settings.policy_limits.peers", "nodes may talk, but peers.nodes names no addresses")
		return nil
	case set.Nodes > 0 && n != set.Nodes:
		fault("peers.nodes", "peers.nodes", "%d addresses for %d nodes", n, set.Nodes)
		return nil
	case set.Node < 0 || set.Node >= n:
		fault("settings.me", "settings.me", "node %d is none of %d", set.Node, n)
		return nil
	}
	var out []netip.AddrPort
	for i, text := range f.Peers.Nodes {
		a, err := netip.ParseAddrPort(text)
		if key := fmt.Sprintf("peers.nodes[%d]", i); err != nil || a.Port() == 0 || slices.Contains(out, a) {
			fault(key, key, "%q is no address and port of a node's own", text)
			return nil
		}
		out = append(out, a)
	}
	if !set.GossipAllowed {
		return nil // named ahead of the settings that will use them
	}
	return out
}

// loadShadowSettings reads the shadow settings; the path is relative to the configuration file.
func loadShadowSettings(config, path string) (*balancer.Settings, []operator.Diagnostic) {
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(config), path)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, []operator.Diagnostic{{File: config, Key: "watch", Message: err.Error()}}
	}
	lines := configpos.JSON(raw)
	set, err := settings.Parse(raw)
	if err != nil {
		var out []operator.Diagnostic
		for _, e := range settings.All(err) {
			out = append(out, operator.Diagnostic{File: path, Line: lines.Line(e.Key), Key: "watch", Message: e.Text})
		}
		return nil, out
	}
	if _, err := balancer.New(set.Balancer, 0); err != nil {
		return nil, []operator.Diagnostic{{File: path, Key: "watch", Message: err.Error()}}
	}
	return &set.Balancer, nil
}

// validate returns the limits with which no node can run.
func (l Limits) validate() []operator.Diagnostic {
	var out []operator.Diagnostic
	if !(l.Cores > 0) {
		out = append(out, operator.Diagnostic{Key: "limits.cores", Message: fmt.Sprintf("%v is not a share of cores", l.Cores)})
	}
	if !(l.MemoryMB > 0) {
		out = append(out, operator.Diagnostic{Key: "limits.memory_mb", Message: fmt.Sprintf("%v is no memory", l.MemoryMB)})
	}
	if l.Sockets < minSockets {
		out = append(out, operator.Diagnostic{Key: "limits.sockets",
			Message: fmt.Sprintf("%d is too few, %d are needed", l.Sockets, minSockets)})
	}
	return out
}

func checkAddress(variable, key, value string) error {
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
