package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validFile = `{"name":"n3","listen":"127.0.0.1:8081","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"revision":41,"complete":true,"members":[{"id":"a","host_port":"127.0.0.3:1","phase":"SERVING"}]},
 "settings":{"classes":[{"aim_ms":300,"effect":"free","group":"all","hard_limit_ms":900,"name":"look","worth":1}],
 "discovery":"automatic","fleet_size":2,"goal":{"whole":1},"me":1,
 "obligations":{"answer_slack_ms":5,"cold_from":0.3,"cold_ms":9000,"fall_ms":1000,"fall_multiple":3,"stop_sending_within_ms":1500},
 "policy_limits":{"attempts_cap":3,"conn_idle_ms":60000},"report":{"how":"none","names":[]}}}`

func load(t *testing.T, file string, env map[string]string) (Config, error) {
	t.Helper()
	path := write(t, file)
	return Load(func(key string) string {
		if key == "ROUTER_CONFIG" {
			return path
		}
		return env[key]
	})
}

func TestLoad(t *testing.T) {
	c, err := load(t, validFile, map[string]string{"ROUTER_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n4" || c.Listen != "127.0.0.1:8081" || c.Discovery != "127.0.0.2:8500" {
		t.Errorf("got %+v, want the name n4 of ROUTER_NAME and the addresses of the file", c)
	}
	if c.Seed != 0x8c1f30d27a5be964 || c.Limits != (Limits{1, 192, 1024}) || len(c.Known.Members) != 1 {
		t.Errorf("seed %x, limits %+v, known %+v; want the values of the file", c.Seed, c.Limits, c.Known)
	}
	if s := c.Settings; s.ServerIdleTimeout != 60000 || s.ResponseSlack != 5 || s.Balancer.Nodes != 2 || s.Balancer.DrainGrace != 1500 {
		t.Errorf("settings = %+v, want idle timeout 60000 ms, slack 5 ms, 2 nodes, drain grace 1500 ms", s)
	}
}

// Guards against a start with an invalid configuration, and against an error that does not name the key.
func TestLoadRejectsInvalidValues(t *testing.T) {
	for _, c := range []struct{ key, old, replacement string }{
		{"ROUTER_CONFIG", "{", "["},
		{"ROUTER_NAME", `"n3"`, `""`},
		{"ROUTER_LISTEN", `"127.0.0.1:8081"`, `""`},
		{"ROUTER_LISTEN", `127.0.0.1:8081`, `127.0.0.1`},
		{"ROUTER_LISTEN", `127.0.0.1:8081`, `127.0.0.1:99999`},
		{"ROUTER_LISTEN", `127.0.0.1:8081`, `127.0.0.1:http`},
		{"ROUTER_DISCOVERY", `127.0.0.2:8500`, `discovery.local:8500`},
		{"ROUTER_OPERATOR", `"listen"`, `"operator":"127.0.0.1","listen"`},
		{"ROUTER_OPERATOR", `"listen"`, `"operator":"staff.local:9000","listen"`},
		{"seed", `8c1f30d27a5be964`, `seed`},
		{"seed", `8c1f30d27a5be964`, `18c1f30d27a5be964`},
		{"limits.cores", `"cores":1.0`, `"cores":0`},
		{"limits.memory_mb", `"memory_mb":192`, `"memory_mb":-1`},
		{"limits.sockets", `"sockets":1024`, `"sockets":8`},
		{"known", `"revision":41,`, ``},
		{"settings", `"settings":{`, `"other":{`},
		{"stop_sending_within_ms", `"stop_sending_within_ms":1500`, `"other":1`},
	} {
		file := strings.Replace(validFile, c.old, c.replacement, 1)
		if file == validFile {
			t.Fatalf("%q is not in the file", c.old)
		}
		_, err := load(t, file, nil)
		if err == nil || !strings.Contains(err.Error(), c.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s instead of %s: error %v, want one line naming %s", c.replacement, c.old, err, c.key)
		}
	}
}

func TestLoadWithoutFileNamesVariable(t *testing.T) {
	for _, path := range []string{"", filepath.Join(t.TempDir(), "none")} {
		if _, err := Load(func(string) string { return path }); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
			t.Errorf("ROUTER_CONFIG=%q: error %v, want one naming ROUTER_CONFIG", path, err)
		}
	}
}

// Gossip needs a distinct address for each node, and a file of shadow settings must be valid. Errors begin with the key.
func TestLoadPeersAndShadowSettings(t *testing.T) {
	file := strings.Replace(validFile, `"policy_limits":{`, `"policy_limits":{"peers":true,`, 1)
	withKey := func(member string) string { return strings.Replace(file, `{"name"`, "{"+member+`,"name"`, 1) }
	twoNodes := `"peers":{"nodes":["127.0.0.1:9001","127.0.0.1:9002"]}`
	c, err := load(t, withKey(twoNodes), nil)
	if err != nil || len(c.GossipNodes) != 2 || c.GossipNodes[1].Port() != 9002 {
		t.Errorf("peers = %v, error %v; want both addresses", c.GossipNodes, err)
	}
	if c, err = load(t, strings.Replace(validFile, `{"name"`, "{"+twoNodes+`,"name"`, 1), nil); err != nil || c.GossipNodes != nil {
		t.Errorf("peers with gossip off = %v, error %v; want none", c.GossipNodes, err)
	}
	settings := validFile[strings.Index(validFile, `"settings":`)+len(`"settings":`) : len(validFile)-1]
	for key, f := range map[string]string{
		"settings.policy_limits.peers": file,
		"peers.nodes":                  withKey(`"peers":{"nodes":["127.0.0.1:9001"]}`),
		"peers.nodes[1]":               withKey(`"peers":{"nodes":["127.0.0.1:9001","elsewhere:1"]}`),
		"settings.me":                  strings.Replace(withKey(twoNodes), `"me":1`, `"me":2`, 1),
		"watch":                        strings.Replace(validFile, `{"name"`, `{"watch":"/nowhere/at/all","name"`, 1),
		"watch: report.how": strings.Replace(validFile, `{"name"`, `{"watch":"`+write(t, strings.Replace(settings, `"none"`, `"letters"`, 1))+
			`","name"`, 1),
	} {
		if _, err := load(t, f, nil); err == nil || !strings.HasPrefix(err.Error(), key+":") {
			t.Errorf("error %v, want one that begins with %s:", err, key)
		}
	}
	c, err = load(t, strings.Replace(validFile, `{"name"`, `{"watch":"`+write(t, settings)+`","name"`, 1), nil)
	if err != nil || c.Shadow == nil || c.Shadow.Nodes != 2 {
		t.Errorf("shadow settings = %+v, error %v; want settings with 2 nodes", c.Shadow, err)
	}
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A configuration without a cached list may say so by null, and a cached list may have no members. A node that refuses to start over
// that is down for no reason.
func TestKnownListMayBeNullOrEmpty(t *testing.T) {
	const known = `"known":{"revision":41,"complete":true,"members":[{"id":"a","host_port":"127.0.0.3:1","phase":"SERVING"}]},`
	for _, form := range []string{``, `"known":null,`, `"known":{"revision":41,"complete":true,"members":null},`, `"known":{"revision":41.0,"complete":true,"members":[]},`} {
		c, err := load(t, strings.Replace(validFile, known, form, 1), nil)
		if err != nil || len(c.Known.Members) > 0 {
			t.Errorf("known %q: list %+v, error %v, want none", form, c.Known, err)
		}
	}
}
