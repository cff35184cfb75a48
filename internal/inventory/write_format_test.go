package inventory

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// Operators keep lists written by "tackhub inventory convert", so the formats must not change. testdata/servers.csv and
// servers.yaml were written by WriteCSV and WriteYAML before the packages were renamed (December 2026).

func fixtureServers() []Server {
	return []Server{
		{ID: "s1", Address: "10.0.0.1:80", Zone: "a", Pod: "7", Size: 2.5, Phase: Serving, Tags: []string{"ssd", "big"},
			Extra: map[string]string{"rack": `r "1", left`, "owner": "no"}},
		{ID: "0123", Address: "coap://[fd00::1]:5683", Zone: "b", Pod: "08", Phase: Draining, Extra: map[string]string{"rack": "1e3"}},
		{ID: "no", Address: "10.0.0.3:80", Phase: Serving},
	}
}

func TestWriteAndParseFileFormats(t *testing.T) {
	for name, write := range map[string]func([]Server) []byte{"servers.csv": WriteCSV, "servers.yaml": WriteYAML} {
		golden, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if written := write(fixtureServers()); !bytes.Equal(written, golden) {
			t.Errorf("%s: wrote\n%s\nwant\n%s", name, written, golden)
		}
		list, err := Parse(name, golden, Options{Trailer: true, MinRows: 3})
		if err != nil {
			t.Fatal(err)
		}
		want := fixtureServers()
		if name == "servers.csv" { // in CSV every row has every column, so absent values are empty
			want[1].Tags, want[2].Tags = []string{}, []string{}
			want[1].Extra["owner"] = ""
			want[2].Extra = map[string]string{"rack": "", "owner": ""}
		}
		if !reflect.DeepEqual(list.Servers, want) {
			t.Errorf("%s: servers = %+v\nwant %+v", name, list.Servers, want)
		}
		if wantSum := fixtureSums[name]; list.SHA256 != wantSum {
			t.Errorf("%s: SHA-256 = %s, want %s", name, list.SHA256, wantSum)
		}
	}
}

// fixtureSums holds the SHA-256 of the files, computed by sha256sum.
var fixtureSums = map[string]string{
	"servers.csv":  "7714f610381e6dae0cb4ce12797d707a4cd8cf8c6d68dfbcb4f2d4ab0fffe59d",
	"servers.yaml": "2a110ac72e7e72af8a50018f192c914e3d7f26e3ce2a10e07c67a09559d3baf1",
}
