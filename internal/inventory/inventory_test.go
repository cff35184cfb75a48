package inventory

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

func TestParseWithAliases(t *testing.T) {
	o := Options{Aliases: map[string]string{"Host Name": "id", "endpoint": "address", "cell": "pod"}}
	for name, text := range map[string]string{
		"x.csv": "Host Name,endpoint,cell\ns1,10.0.0.1:80,3\n",
		"x.yml": "- Host Name: s1\n  endpoint: 10.0.0.1:80\n  cell: 3\n",
	} {
		l, err := Parse(name, []byte(text), o)
		if err != nil || l.Servers[0].ID != "s1" || l.Servers[0].Pod != "3" || l.Servers[0].Address != "10.0.0.1:80" {
			t.Errorf("%s: list = %+v, error = %v, want s1 at 10.0.0.1:80 in pod 3", name, l, err)
		}
	}
}

// Each error in a file must be reported with its line, and no list may be returned.
func TestParseReportsDiagnostics(t *testing.T) {
	head := "id,address,pod\n"
	deep := strings.Repeat("[", 5000)
	bomb := "a: &a [x,x,x,x,x,x,x,x,x,x]\n"
	for i := 'b'; i < 'k'; i++ {
		p := string(i - 1)
		bomb += fmt.Sprintf("%c: &%c [%s]\n", i, i, strings.TrimSuffix(strings.Repeat("*"+p+",", 10), ","))
	}
	bomb = "servers:\n  - id: s\n    tags: &z [x]\ndefaults:\n" + indent(bomb) + "  tags: *j\n"
	for _, c := range []struct {
		name, text string
		line       int
		want       string
	}{
		{"a.csv", "", 0, "empty"},
		{"a.csv", "address\n10.0.0.1:80\n", 1, `missing column "id"`},
		{"a.csv", "id,ID\n", 1, "duplicate column"},
		{"a.csv", "id,,pod\n", 1, "has no name"},
		{"a.csv", head, 0, "0 servers, expected at least 1"},
		{"a.csv", head + "s1,10.0.0.1:80\n", 2, "2 fields, the header has 3"},
		{"a.csv", head + "s1,10.0.0.1:80,1\ns1,10.0.0.2:80,2\n", 3, `also in row 1 (line 2), there with pod "1", here with pod "2"`},
		{"a.csv", head + "s1,10.0.0.1:80,1\ns1,10.0.0.1:80,1\n", 3, "also in row 1 (line 2)"},
		{"a.csv", head + "s1,10.0.0.1:80,1\ns2,10.0.0.1:80,1\n", 3, `also in row 1 (line 2), for id "s1"`},
		{"a.csv", head + ",10.0.0.1:80,1\n", 2, "missing id"},
		{"a.csv", head + "s 1,10.0.0.1:80,1\n", 2, "contains spaces"},
		{"a.csv", head + "s1,host:80,1\n", 2, "not an IP address"},
		{"a.csv", head + "s1,\"10.0.0.1:80,1\n", 2, "quote"},
		{"a.csv", head + "s1,10.0.0.1:80,\xff\n", 2, "invalid UTF-8"},
		{"a.csv", "id,size\ns1,-1\n", 2, "expected a number above 0"},
		{"a.csv", "id,phase\ns1,gone\n", 2, "unknown phase"},
		{"a.yaml", "", 0, "empty"},
		{"a.yaml", "- id: s1\n  pod: 1\n- id: s1\n  pod: 2\n", 3, `pod "1", here with pod "2"`},
		{"a.yaml", "- id: s1\n  id: s2\n", 2, ""},
		{"a.yaml", "- id: [a, b]\n", 1, "expected a single value"},
		{"a.yaml", "- s1\n", 1, "expected a mapping"},
		{"a.yaml", "servers: 3\n", 1, "expected a list of servers"},
		{"a.yaml", "serves: []\n", 1, `unknown key "serves"`},
		{"a.yaml", "- id: *none\n", 1, "anchor"},
		{"a.yaml", "- id: s1\n---\n- id: s2\n", 3, "second document"},
		{"a.yaml", "- id: s1\n\t- id: s2\n", 2, ""},
		{"a.yaml", "defaults: {id: x}\nservers: [{id: a}]\n", 1, "cannot be a default"},
		{"a.yaml", deep, 1, "brackets are nested more than"},
		{"a.yaml", strings.Repeat("- ", 5000) + "x\n", 1, "lists are nested more than"},
		{"a.yaml", "- id: s1\n  note: " + strings.Repeat("x", maxLineBytes) + "\n", 2, "the line has"},
		{"a.yaml", bomb, 0, ""},
		{"a.txt", "id\ns1\n", 0, "unknown file extension"},
	} {
		l, err := Parse(c.name, []byte(c.text), Options{})
		var diagnostics *Diagnostics
		if !errors.As(err, &diagnostics) || len(l.Servers) > 0 {
			t.Errorf("%.60q: error = %v with %d servers, want *Diagnostics and no servers", c.text, err, len(l.Servers))
			continue
		}
		if got := diagnostics.First[0]; c.line > 0 && got.Line != c.line || !strings.Contains(got.Message, c.want) || !strings.HasPrefix(got.String(), c.name) {
			t.Errorf("%.60q: diagnostic = %s, want line %d and %q", c.text, got, c.line, c.want)
		}
	}
}

func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimSuffix(text, "\n"), "\n", "\n  ") + "\n"
}

func TestKeepAtMostMaxDiagnostics(t *testing.T) {
	text := "id,size\n"
	for i := range 50 {
		text += fmt.Sprintf("s%d,x\n", i)
	}
	_, err := ParseCSV("a.csv", []byte(text), Options{})
	var diagnostics *Diagnostics
	if !errors.As(err, &diagnostics) || diagnostics.Total != 50 || len(diagnostics.First) != MaxDiagnostics || !strings.Contains(err.Error(), "49 more") {
		t.Errorf("error = %v, want 50 diagnostics of which %d are kept", err, MaxDiagnostics)
	}
}

// A truncated file would take the servers in its missing part out of service. If a trailer is required, a file truncated at any
// byte must be rejected.
func TestRejectTruncatedFile(t *testing.T) {
	for name, raw := range map[string][]byte{"a.csv": []byte(goodCSV), "a.yaml": []byte(goodYAML), "b.csv": WriteCSV(wantCSV()), "b.yaml": WriteYAML(wantCSV())} {
		o := Options{Trailer: true}
		if _, err := Parse(name, raw, o); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for n := range len(raw) {
			if l, err := Parse(name, raw[:n], o); err == nil {
				t.Errorf("%s truncated to %d of %d bytes: parsed with %d servers, want an error", name, n, len(raw), len(l.Servers))
			}
		}
	}
}

// checkParseResult checks that parsing a file returns either a list with unique ids and addresses, or diagnostics and no list.
func checkParseResult(t *testing.T, name string, raw []byte) {
	l, err := Parse(name, raw, Options{})
	if err != nil {
		var diagnostics *Diagnostics
		if !errors.As(err, &diagnostics) || diagnostics.Total == 0 || len(l.Servers) > 0 {
			t.Fatalf("error = %v with %d servers, want *Diagnostics and no servers", err, len(l.Servers))
		}
		return
	}
	ids, addresses := map[string]bool{}, map[string]bool{}
	for _, s := range l.Servers {
		if s.ID == "" || ids[s.ID] || s.Address != "" && addresses[s.Address] {
			t.Fatalf("servers = %+v, want unique ids and addresses", l.Servers)
		}
		ids[s.ID], addresses[s.Address] = true, true
	}
	if again, err := Parse(name, bytes.Clone(raw), Options{}); err != nil || !reflect.DeepEqual(again, l) {
		t.Fatalf("second parse = %+v, error = %v, want %+v", again, err, l)
	}
}
