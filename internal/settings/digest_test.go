package settings

import (
	"os"
	"testing"
)

// TestDigestIsThatOfThePreviousVersion: in an upgrade the two processes compare digests of their
// settings. A digest that changes with a name in the code makes every upgrade look like a change of
// settings, and the new process starts without the records of its servers. The digest was worked
// out by the version that digested the settings by the names of Go fields.
func TestDigestIsThatOfThePreviousVersion(t *testing.T) {
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
		t.Errorf("digest %s, was %s", s.Digest, want)
	}
}
