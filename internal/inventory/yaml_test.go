package inventory

import (
	"reflect"
	"testing"
)

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

// Scalars keep the text of the file, groups inherit defaults, and unknown fields are kept.
func TestParseYAML(t *testing.T) {
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
		t.Errorf("servers = %+v\nwant      %+v", got.Servers, want)
	}
}

func FuzzYAML(f *testing.F) {
	f.Add([]byte(goodYAML))
	f.Add([]byte("- &a {id: x, <<: *a}\n"))
	f.Fuzz(func(t *testing.T, raw []byte) { checkParseResult(t, "a.yaml", raw) })
}
