// Package config reads a node's configuration: the ROUTER_ environment variables and the configuration
// file that ROUTER_CONFIG names. A missing or invalid value is an error that names the key.
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
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/configpos"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/settings"
)

// Limits are the resource limits of the node's process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the complete configuration of a node.
type Config struct {
	Name         string
	Listen       string // address of the clients' listener
	Discovery    string // address of the discovery service
	AdminAddress string // address of the administrators' listener; empty: off
	Seed         uint64 // seed of the balancer's random numbers
	Limits       Limits
	Known        discovery.List // endpoint list that is used until discovery responds
	Written      time.Time      // when the configuration file was written last
	Settings     settings.Settings
	GossipNodes  []netip.AddrPort   // addresses of all nodes, indexed by node number; empty if gossip is off
	Shadow       *balancer.Settings // shadow settings, evaluated in addition to Settings; nil: none
}

// file is the content of the configuration file. Its JSON names are used in operators' files and must
// not change.
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

// minSockets is the smallest descriptor limit with which a node can serve: it covers the descriptors for
// the node itself and a few connections to clients and to servers.
const minSockets = 64

// Load reads the environment and the configuration file. The error describes the first fault, in one
// line that names the key.
func Load(getenv func(string) string) (Config, error) {
	c, faults := Check(getenv)
	if len(faults) > 0 {
		return Config{}, errors.New(oneLine(faults[0]))
	}
	return c, nil
}

// Check reads the environment and the configuration file, and returns every fault with its line.
func Check(getenv func(string) string) (Config, []operator.Diagnostic) {
	path := getenv("ROUTER_CONFIG")
	f, raw, fault := readFile(path)
	if fault != nil {
		return Config{}, []operator.Diagnostic{*fault}
	}
	f.applyEnvironment(getenv)
	c, faults := f.validate(path, configpos.JSON(raw))
	if info, err := os.Stat(path); err == nil {
		c.Written = info.ModTime()
	}
	return c, faults
}

// oneLine formats a fault as one line that begins with its key.
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

// syntaxFault returns the fault of a file that is not valid JSON or has a value of the wrong type.
func syntaxFault(path string, raw []byte, err error) *operator.Diagnostic {
	f := &operator.Diagnostic{File: path, Key: "ROUTER_CONFIG", Message: path + ": " + err.Error()}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		f.Line = configpos.LineAt(raw, syntax.Offset)
	case errors.As(err, &wrongType):
		f.Line = configpos.LineAt(raw, wrongType.Offset)
	}
	return f
}

// applyEnvironment overrides values of the file with environment variables. These have precedence, since
// the program that starts the node sets them last.
func (f *file) applyEnvironment(getenv func(string) string) {
	for key, field := range map[string]*string{
		"ROUTER_NAME": &f.Name, "ROUTER_LISTEN": &f.Listen, "ROUTER_DISCOVERY": &f.Discovery,
		"ROUTER_OPERATOR": &f.Operator,
	} {
		if value := getenv(key); value != "" {
			*field = value
		}
	}
}

// validate parses and checks all values of the file, and returns every fault.
func (f *file) validate(path string, lines configpos.Lines) (Config, []operator.Diagnostic) {
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, AdminAddress: f.Operator, Limits: f.Limits}
	var faults []operator.Diagnostic
	fault := func(lineKey, key, format string, args ...any) {
		faults = append(faults, operator.Diagnostic{File: path, Line: lines.Line(lineKey), Key: key, Message: fmt.Sprintf(format, args...)})
	}
	if c.Name == "" {
		fault("name", "", "ROUTER_NAME is not set, and the configuration has no name")
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
	for _, d := range f.Limits.validate() {
		fault(d.Key, d.Key, "%s", d.Message)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		fault("seed", "seed", "%q is not a 64-bit hexadecimal number", f.Seed)
	}
	if len(f.Settings) == 0 {
		fault("settings", "", "settings is missing")
	} else if c.Settings, err = settings.Parse(f.Settings); err != nil {
		for _, e := range settings.Faults(err) {
			fault("settings."+e.Key, "settings", "%v", e)
		}
	}
	c.GossipNodes = f.gossipNodes(c.Settings.Balancer, fault)
	if f.Watch != "" {
		var shadowFaults []operator.Diagnostic
		c.Shadow, shadowFaults = loadShadowSettings(path, f.Watch)
		faults = append(faults, shadowFaults...)
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.Known, err = discovery.ParseList(f.Known); err != nil {
			fault("known", "known", "%v", err)
		}
	}
	return c, faults
}

// gossipNodes returns the addresses of all nodes for gossip, which are required if the settings allow
// gossip.
func (f *file) gossipNodes(balancerSettings balancer.Settings, fault func(lineKey, key, format string, args ...any)) []netip.AddrPort {
	if !balancerSettings.GossipAllowed && len(f.Peers.Nodes) == 0 {
		return nil
	}
	switch n := len(f.Peers.Nodes); {
	case n == 0:
		fault("settings.policy_limits.peers", "settings.policy_limits.peers", "gossip between nodes is on, but peers.nodes contains no addresses")
		return nil
	case balancerSettings.Nodes > 0 && n != balancerSettings.Nodes:
		fault("peers.nodes", "peers.nodes", "%d addresses for %d nodes", n, balancerSettings.Nodes)
		return nil
	case balancerSettings.Node < 0 || balancerSettings.Node >= n:
		fault("settings.me", "settings.me", "node number %d is out of range for %d nodes, numbered from 0", balancerSettings.Node, n)
		return nil
	}
	var addresses []netip.AddrPort
	for i, text := range f.Peers.Nodes {
		address, err := netip.ParseAddrPort(text)
		if key := fmt.Sprintf("peers.nodes[%d]", i); err != nil || address.Port() == 0 || slices.Contains(addresses, address) {
			fault(key, key, "%q is not an IP address with a port from 1 to 65535, or is also the address of another node", text)
			return nil
		}
		addresses = append(addresses, address)
	}
	if !balancerSettings.GossipAllowed {
		return nil // the addresses may be configured before gossip is turned on
	}
	return addresses
}

// loadShadowSettings reads the shadow settings. A relative path is relative to the directory of the
// configuration file.
func loadShadowSettings(configPath, path string) (*balancer.Settings, []operator.Diagnostic) {
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(configPath), path)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, []operator.Diagnostic{{File: configPath, Key: "watch", Message: err.Error()}}
	}
	lines := configpos.JSON(raw)
	shadowSettings, err := settings.Parse(raw)
	if err != nil {
		var faults []operator.Diagnostic
		for _, e := range settings.Faults(err) {
			faults = append(faults, operator.Diagnostic{File: path, Line: lines.Line(e.Key), Key: "watch", Message: e.Text})
		}
		return nil, faults
	}
	if _, err := balancer.New(shadowSettings.Balancer, 0); err != nil {
		return nil, []operator.Diagnostic{{File: path, Key: "watch", Message: err.Error()}}
	}
	return &shadowSettings.Balancer, nil
}

// validate returns a fault for each limit with which a node cannot run.
func (l Limits) validate() []operator.Diagnostic {
	var faults []operator.Diagnostic
	if !(l.Cores > 0) {
		faults = append(faults, operator.Diagnostic{Key: "limits.cores", Message: fmt.Sprintf("%v is not a positive number of cores", l.Cores)})
	}
	if !(l.MemoryMB > 0) {
		faults = append(faults, operator.Diagnostic{Key: "limits.memory_mb",
			Message: fmt.Sprintf("%v is not a positive amount of memory in MB", l.MemoryMB)})
	}
	if l.Sockets < minSockets {
		faults = append(faults, operator.Diagnostic{Key: "limits.sockets",
			Message: fmt.Sprintf("%d descriptors are too few, at least %d are needed", l.Sockets, minSockets)})
	}
	return faults
}

// checkAddress checks that a value is an IP address with a port. Errors name its environment variable.
func checkAddress(variable, key, value string) error {
	if value == "" {
		return fmt.Errorf("%s is not set, and the configuration has no %s", variable, key)
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("%s: %w", variable, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q is not an IP address, and host names are not resolved", variable, host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%s: %q is not a port number from 0 to 65535", variable, port)
	}
	return nil
}
