package upstream

import (
	"bytes"
	"testing"
)

func TestLoadValue(t *testing.T) {
	for text, want := range map[string]float64{
		"TEXT inflight=7, queue=2, util=0.61": 7, "inflight=7": 7, "queue=2,inflight=0": 0, " TEXT  inflight = 3 ": 3,
		"concurrent=4, depth=1": 4, "TEXT INFLIGHT=2.5": 2.5,
		"": -1, "TEXT": -1, "TEXT queue=2": -1, "inflight=": -1, "inflight=many": -1, "inflight=-1": -1,
		"inflight=NaN": -1, "inflight=1e300": -1, "=7": -1, "inflight": -1, "TEXT minflight=7": -1,
	} {
		n, ok := loadValue([]byte(text), inFlightNames)
		if ok != (want >= 0) || ok && n != want {
			t.Errorf("loadValue(%q) = %v, %v, want %v (-1: invalid)", text, n, ok, want)
		}
	}
}

func FuzzLoadValue(f *testing.F) {
	for _, seed := range []string{"TEXT inflight=7, queue=2, util=0.61", "inflight=NaN", ",,==", "a b c=1"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		n, ok := loadValue(bytes.Clone(text), inFlightNames)
		if ok && !(n >= 0 && n < 1e9) {
			t.Errorf("loadValue(%q) = %v, want a number from 0 to below 1e9", text, n)
		}
	})
}
