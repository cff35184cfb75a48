package endpoints

import (
	"strings"
	"testing"

	"tackhub.example/tackhub/internal/operator"
)

func TestCheckRejectsInvalidOptions(t *testing.T) {
	for text, want := range map[string]string{
		"[inventory]\ndiscovery = false\n":                                       "no source",
		"[inventory]\nremove_share = 2.0\n":                                      "inventory.remove_share",
		"[inventory]\nmove_share = 0.0\n":                                        "inventory.move_share",
		"[inventory]\nrequire = [\"x\"]\n":                                       "inventory.require",
		"[inventory]\n[inventory.order]\ncolour = [\"discovery\"]\n":             "inventory.order.colour",
		"[inventory]\n[[inventory.file]]\npath = \"a.txt\"\n":                    "unknown file extension",
		"[inventory]\n[[inventory.file]]\npath = \"a.csv\"\nname = \"static\"\n": "another source",
		"[inventory]\n[[inventory.static]]\nid = \"a\"\naddress = \"host:1\"\n":  "inventory.static[0].address",
		"[inventory]\npoll = \"1ms\"\n":                                          "inventory.poll",
		"[inventory]\nstate_dirs = \"x\"\n":                                      "no such key",
	} {
		if _, err := operator.Parse("edge.toml", text, []operator.Section{Subsystem().Section}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error = %v, want one with %q", text, err, want)
		}
	}
}
