package inventory

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

const goodCSV = "\xef\xbb\xbfpod,id,address,rack,size,phase,tags,zone\r\n" +
	"# the first hall\r\n" +
	"7,s1,10.0.0.1:80,\"r \"\"1\"\", left\",2.5,active,ssd;big,a\r\n" +
	"8,no,10.0.0.2:80,,,drain,,b\r\n" +
	"8,0123,\"[fd00::1]:80\",r3,1,,,b\r\n" +
	"# end 3\r\n"

const goodYAML = `# kept by a tool
defaults: &base
  zone: a
  rack: r0
servers:
  - {id: s1, address: "10.0.0.1:80", pod: 07, size: 2.5, phase: active, tags: [ssd, big]}
groups:
  west:
    defaults:
      <<: *base
      zone: b
      pod: 8
    servers:
      - id: no
        address: 10.0.0.2:80
        phase: drain
    groups:
      inner:
        defaults: {size: 3}
        servers:
          - {id: 0123, address: "[fd00::1]:80"}
          - {id: 1e3, address: "10.0.0.3:80", size: 1, zone: c}
# end 4
`

func wantCSV() []Server {
	return []Server{
		{ID: "s1", Address: "10.0.0.1:80", Zone: "a", Pod: "7", Size: 2.5, Phase: Serving, Tags: []string{"ssd", "big"}, Extra: map[string]string{"rack": `r "1", left`}},
		{ID: "no", Address: "10.0.0.2:80", Zone: "b", Pod: "8", Phase: Draining, Tags: []string{}, Extra: map[string]string{"rack": ""}},
		{ID: "0123", Address: "[fd00::1]:80", Zone: "b", Pod: "8", Size: 1, Phase: Serving, Tags: []string{}, Extra: map[string]string{"rack": "r3"}},
	}
}

func TestCSV(t *testing.T) {
	got, err := ParseCSV("x.csv", []byte(goodCSV), Options{Trailer: true, MinRows: 3})
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got.Servers, wantCSV()) {
		t.Errorf("got  %+v\nwant %+v", got.Servers, wantCSV())
	}
}

// Scalars are taken as they are written, groups inherit, and what is not ours is carried along.
func TestYAML(t *testing.T) {
	got, err := ParseYAML("x.yaml", []byte(goodYAML), Options{Trailer: true})
	if err != nil {
		t.Fatal(err)
	}
	rack := map[string]string{"rack": "r0"}
	want := []Server{
		{ID: "s1", Address: "10.0.0.1:80", Zone: "a", Pod: "07", Size: 2.5, Phase: Serving, Tags: []string{"ssd", "big"}, Extra: rack},
		{ID: "no", Address: "10.0.0.2:80", Zone: "b", Pod: "8", Phase: Draining, Extra: rack},
		{ID: "0123", Address: "[fd00::1]:80", Zone: "b", Pod: "8", Size: 3, Phase: Serving, Extra: rack},
		{ID: "1e3", Address: "10.0.0.3:80", Zone: "c", Pod: "8", Size: 1, Phase: Serving, Extra: rack},
	}
	if !reflect.DeepEqual(got.Servers, want) {
		t.Errorf("got  %+v\nwant %+v", got.Servers, want)
	}
}

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

// Each fault is told with its line and what is wrong, and no list comes of it.
func TestFaults(t *testing.T) {
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
		{"a.yaml", "- id: s1\n  note: " + strings.Repeat("x", maxLine) + "\n", 2, "a line of"},
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

func TestOnlyTheFirstFaultsAreKept(t *testing.T) {
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

// A file cut off at any byte is never taken for a list, where it has a trailer.
func TestCutOffAtEveryByte(t *testing.T) {
	for name, raw := range map[string][]byte{"a.csv": []byte(goodCSV), "a.yaml": []byte(goodYAML), "b.csv": WriteCSV(wantCSV()), "b.yaml": WriteYAML(wantCSV())} {
		o := Options{Trailer: true}
		if _, err := Parse(name, raw, o); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for n := range len(raw) {
			if l, err := Parse(name, raw[:n], o); err == nil {
				t.Errorf("%s cut off at byte %d of %d was taken with %d servers", name, n, len(raw), len(l.Servers))
			}
		}
	}
}

// What is written is read as it was, in both forms, and a difference is told by field.
func TestWrittenAndReadAgain(t *testing.T) {
	servers := wantCSV()
	for name, raw := range map[string][]byte{"a.csv": WriteCSV(servers), "a.yaml": WriteYAML(servers)} {
		l, err := Parse(name, raw, Options{Trailer: true})
		if err != nil {
			t.Fatalf("%s: %v\n%s", name, err, raw)
		}
		if d := Diff(servers, l.Servers); len(d) > 0 {
			t.Errorf("%s: %v\n%s", name, d, raw)
		}
	}
	other := wantCSV()[1:]
	other[0].Pod = "9"
	other = append(other, Server{ID: "new"})
	got := fmt.Sprint(Diff(servers, other))
	if got != `[added new changed no: pod from "8" to "9" removed s1]` {
		t.Errorf("differences %s", got)
	}
}

func big(n int) []Server {
	out := make([]Server, n)
	for i := range out {
		out[i] = Server{ID: fmt.Sprintf("s%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: "a",
			Pod: fmt.Sprint(i / 4), Size: 1, Phase: Serving, Extra: map[string]string{"rack": fmt.Sprint(i / 40)}}
	}
	return out
}

func BenchmarkParse10000(b *testing.B) {
	for name, raw := range map[string][]byte{"a.csv": WriteCSV(big(10_000)), "a.yaml": WriteYAML(big(10_000))} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				if _, err := Parse(name, raw, Options{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func FuzzCSV(f *testing.F) {
	f.Add([]byte(goodCSV))
	f.Fuzz(func(t *testing.T, raw []byte) { sound(t, "a.csv", raw) })
}

func FuzzYAML(f *testing.F) {
	f.Add([]byte(goodYAML))
	f.Add([]byte("- &a {id: x, <<: *a}\n"))
	f.Fuzz(func(t *testing.T, raw []byte) { sound(t, "a.yaml", raw) })
}

// sound checks that whatever was read is a list without contradictions, or faults.
func sound(t *testing.T, name string, raw []byte) {
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
