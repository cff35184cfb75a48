package settings

import (
	"os"
	"testing"
)

// If the digest changes with a name in the code, every upgrade looks like a change of the settings, and
// the new process starts without its predecessor's state of the servers. The expected digest was
// computed by the version that digested the settings by the names of Go fields.
func TestDigestMatchesPreviousVersion(t *testing.T) {
	const want = "ea0366cb06d4e5f6d33d7a21aef804a15c826a4ba5ed90776b446d759e807bb9"
	raw, err := os.ReadFile("testdata/settings-all-keys.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	if s.Digest != want {
		t.Errorf("digest = %s, want %s", s.Digest, want)
	}
}
