package proxy

import "testing"

func TestFirstSegment(t *testing.T) {
	for uri, want := range map[string]string{"/checkout": "checkout", "/checkout/": "checkout", "/checkout?x=1": "checkout",
		"/checkout/a/b": "checkout", "/checkout#f": "checkout", "//checkout": "", "/": "", "": "", "checkout": "",
		"/check%6fut": "check%6fut", "http://h/checkout": ""} {
		if got := firstSegment([]byte(uri)); got != want {
			t.Errorf("firstSegment(%q) = %q, want %q", uri, got, want)
		}
	}
}

func TestParseTimeout(t *testing.T) {
	for s, want := range map[string]float64{"480": 480, "0": 0, "99999999": maxTimeout, "": -1, "-1": -1, "4.5": -1,
		"1e3": -1, " 5": -1, "99999999999999999999": -1} {
		got, ok := parseTimeout(s)
		if ok != (want >= 0) || ok && got != want {
			t.Errorf("parseTimeout(%q) = %v, %v, want %v (-1: invalid)", s, got, ok, want)
		}
	}
}

func TestParseCostHint(t *testing.T) {
	for s, want := range map[string]float64{"1500": 1.5, "0": 0, "": 0, "-3": 0, "NaN": 0, "Inf": 0, "x": 0} {
		if got := parseCostHint(s); got != want {
			t.Errorf("parseCostHint(%q) = %v, want %v", s, got, want)
		}
	}
}

func TestOriginForm(t *testing.T) {
	for target, want := range map[string]string{"/look?x=1": "/look?x=1", "http://h/look?x=1": "/look?x=1", "HTTPS://h:1/look": "/look",
		"http:///look": "http:///look", "http://h": "http://h", "http://h?/look": "http://h?/look", "*": "*", "": ""} {
		if got := originForm([]byte(target)); string(got) != want {
			t.Errorf("originForm(%q) = %q, want %q", target, got, want)
		}
	}
}
