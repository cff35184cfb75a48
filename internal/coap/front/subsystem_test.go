package front

import "testing"

func TestConfigIsChecked(t *testing.T) {
	for _, bad := range []Config{{}, {Listen: "host:1"}, {Listen: "127.0.0.1:1", MaxInFlight: 1, MaxExchanges: 1, MaxExchangesPerEndpoint: 1, MaxUploads: 1, Memory: 10}} {
		if len(check(&bad)) == 0 {
			t.Errorf("%+v was accepted", bad)
		}
	}
	good := Subsystem().Section.New().(*Config)
	good.Listen = "[::1]:5683"
	if faults := check(good); len(faults) > 0 {
		t.Errorf("the defaults: %v", faults)
	}
}
