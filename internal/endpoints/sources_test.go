package endpoints

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The .confirm file written by "tackhub inventory confirm" must keep its format, since nodes of other versions read it.
func TestConfirmFormat(t *testing.T) {
	list := []byte("id,address\ns1,10.0.0.1:80\n# end 1\n")
	const sum = "6fc2a317bd9e9b9380d78f36c29605c52b68dc9f886c7b1ba455e39ae57be5c7"
	path := filepath.Join(t.TempDir(), "hosts.csv")
	if err := os.WriteFile(path, list, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := confirm(io.Discard, "", []string{path}); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path + ".confirm")
	if err != nil || string(raw) != sum+"\n" {
		t.Errorf("wrote %q (%v), want %q", raw, err, sum+"\n")
	}
	f := &File{Path: path, Checksum: true}
	if got := confirmedSHA256(f); got != sum {
		t.Errorf("confirmed SHA-256 = %q, want %q", got, sum)
	}
	if err := os.WriteFile(path+".sha256", []byte(strings.ToUpper(sum)+"  hosts.csv\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := verifyChecksum(f, list); err != nil {
		t.Errorf("checksum file in the format of sha256sum was rejected: %v", err)
	}
}
