package inventory

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

func TestAliasesOfColumns(t *testing.T) {
	o := Options{Aliases: map[string]string{"Host Name": "id", "endpoint": "address", "cell": "pod"}}
	for name, text := range map[string]string{
		"x.csv": "Host Name,endpoint,cell\ns1,10.0.0.1:80,3\n",
		"x.yml": "- Host Name: s1\n  endpoint: 10.0.0.1:80\n  cell: 3\n",
	} {
		l, err := Parse(name, []byte(text), o)
		if err != nil || l.Servers[0].ID != "s1" || l.Servers[0].Pod != "3" || l.Servers[0].Address != "10.0.0.1:80" {
			t.Errorf("%s: %+v %v", name, l, err)
		}
	}
}

// Each thing that is wrong with a file is reported with its line, and no list comes of it.
func TestDiagnostics(t *testing.T) {
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
		{"a.csv", "address\n10.0.0.1:80\n", 1, "no column id"},
		{"a.csv", "id,ID\n", 1, "comes twice"},
		{"a.csv", "id,,pod\n", 1, "has no name"},
		{"a.csv", head, 0, "0 servers, at least 1"},
		{"a.csv", head + "s1,10.0.0.1:80\n", 2, "2 fields, the header has 3"},
		{"a.csv", head + "s1,10.0.0.1:80,1\ns1,10.0.0.2:80,2\n", 3, `row 1 (line 2) too, there with pod "1", here with pod "2"`},
		{"a.csv", head + "s1,10.0.0.1:80,1\ns1,10.0.0.1:80,1\n", 3, "row 1 (line 2) too"},
		{"a.csv", head + "s1,10.0.0.1:80,1\ns2,10.0.0.1:80,1\n", 3, `too, for id "s1"`},
		{"a.csv", head + ",10.0.0.1:80,1\n", 2, "no id"},
		{"a.csv", head + "s 1,10.0.0.1:80,1\n", 2, "blanks"},
		{"a.csv", head + "s1,host:80,1\n", 2, "no IP address"},
		{"a.csv", head + "s1,\"10.0.0.1:80,1\n", 2, "quote"},
		{"a.csv", head + "s1,10.0.0.1:80,\xff\n", 2, "not UTF-8"},
		{"a.csv", "id,size\ns1,-1\n", 2, "no number above 0"},
		{"a.csv", "id,phase\ns1,gone\n", 2, "phase"},
		{"a.yaml", "", 0, "empty"},
		{"a.yaml", "- id: s1\n  pod: 1\n- id: s1\n  pod: 2\n", 3, `pod "1", here with pod "2"`},
		{"a.yaml", "- id: s1\n  id: s2\n", 2, ""},
		{"a.yaml", "- id: [a, b]\n", 1, "one value"},
		{"a.yaml", "- s1\n", 1, "mapping"},
		{"a.yaml", "servers: 3\n", 1, "list of servers"},
		{"a.yaml", "serves: []\n", 1, `"serves" is not known`},
		{"a.yaml", "- id: *none\n", 1, "anchor"},
		{"a.yaml", "- id: s1\n---\n- id: s2\n", 3, "second document"},
		{"a.yaml", "- id: s1\n\t- id: s2\n", 2, ""},
		{"a.yaml", "defaults: {id: x}\nservers: [{id: a}]\n", 1, "cannot be a default"},
		{"a.yaml", deep, 1, "within each other"},
		{"a.yaml", strings.Repeat("- ", 5000) + "x\n", 1, "within each other"},
		{"a.yaml", "- id: s1\n  note: " + strings.Repeat("x", maxLineBytes) + "\n", 2, "a line of"},
		{"a.yaml", bomb, 0, ""},
		{"a.txt", "id\ns1\n", 0, "ending"},
	} {
		l, err := Parse(c.name, []byte(c.text), Options{})
		var f *Diagnostics
		if !errors.As(err, &f) || len(l.Servers) > 0 {
			t.Errorf("%.60q: %v, %d servers", c.text, err, len(l.Servers))
			continue
		}
		if got := f.First[0]; c.line > 0 && got.Line != c.line || !strings.Contains(got.Message, c.want) || !strings.HasPrefix(got.String(), c.name) {
			t.Errorf("%.60q: %s, want line %d and %q", c.text, got, c.line, c.want)
		}
	}
}

func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimSuffix(text, "\n"), "\n", "\n  ") + "\n"
}

func TestOnlyTheFirstDiagnosticsAreKept(t *testing.T) {
	text := "id,size\n"
	for i := range 50 {
		text += fmt.Sprintf("s%d,x\n", i)
	}
	_, err := ParseCSV("a.csv", []byte(text), Options{})
	var f *Diagnostics
	if !errors.As(err, &f) || f.Total != 50 || len(f.First) != MaxDiagnostics || !strings.Contains(err.Error(), "49 more") {
		t.Errorf("%v", err)
	}
}

// A file that was cut off would take the servers of its other half out of service. With a trailer it is never taken for a list,
// at whatever byte it ends.
func TestCutOffAtEveryByte(t *testing.T) {
	for name, raw := range map[string][]byte{"a.csv": []byte(goodCSV), "a.yaml": []byte(goodYAML), "b.csv": WriteCSV(wantCSV()), "b.yaml": WriteYAML(wantCSV())} {
		o := Options{Trailer: true}
		if _, err := Parse(name, raw, o); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for n := range len(raw) {
			if l, err := Parse(name, raw[:n], o); err == nil {
				t.Errorf("%s cut off at byte %d of %d was read with %d servers", name, n, len(raw), len(l.Servers))
			}
		}
	}
}

// checkSound checks that a file gives a list without contradictions, or diagnostics.
func checkSound(t *testing.T, name string, raw []byte) {
	l, err := Parse(name, raw, Options{})
	if err != nil {
		var f *Diagnostics
		if !errors.As(err, &f) || f.Total == 0 || len(l.Servers) > 0 {
			t.Fatalf("error %v with %d servers", err, len(l.Servers))
		}
		return
	}
	ids, addresses := map[string]bool{}, map[string]bool{}
	for _, s := range l.Servers {
		if s.ID == "" || ids[s.ID] || s.Address != "" && addresses[s.Address] {
			t.Fatalf("list %+v", l.Servers)
		}
		ids[s.ID], addresses[s.Address] = true, true
	}
	if again, err := Parse(name, bytes.Clone(raw), Options{}); err != nil || !reflect.DeepEqual(again, l) {
		t.Fatal("read twice, two lists")
	}
}
