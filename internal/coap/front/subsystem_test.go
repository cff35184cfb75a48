package front

import "testing"

func TestCheckRejectsInvalidConfig(t *testing.T) {
	for _, invalid := range []Config{{}, {Listen: "host:1"}, {Listen: "127.0.0.1:1", MaxInFlight: 1, MaxExchanges: 1, MaxExchangesPerEndpoint: 1, MaxUploads: 1, Memory: 10}} {
		if len(check(&invalid)) == 0 {
			t.Errorf("check(%+v) = no errors, want at least one", invalid)
		}
	}
	valid := Subsystem().Section.New().(*Config)
	valid.Listen = "[::1]:5683"
	if diagnostics := check(valid); len(diagnostics) > 0 {
		t.Errorf("check of the default configuration: got %v, want no errors", diagnostics)
	}
}
