package proxy

import "testing"

// A request of a class that is safe to repeat was forwarded with a path that its server resolves into another class: the node would have
// repeated a request that must not run twice. Such a path must be rejected, and any path that stays in its class in every reading admitted.
func TestPathThatLeavesItsClassIsRejected(t *testing.T) {
	for path, want := range map[string]bool{
		"/look/../bill": false, "/look/%2e%2E/bill": false, "/look/.%2e/bill": false, "/look/a/../../bill": false, "/look/..": false,
		"/look/..%2fbill": false, "/look/%2e%2e%2Fbill": false, "/look//../bill": false, "/look/./../bill": false,
		"/look/..%2fbill/%zz": false, "/look/%2e%2e/bill/%": false, "/look/a%2F..%2F..%2Fbill": false, "/look#/../bill": false,
		"/look/../bill?x": false, "/look//../../bill/look": false,
		// The nearest lawful paths.
		"/look": true, "/look/a/../b": true, "/look/a/%2e%2e/b": true, "/look/./b": true, "/look/a//b": true, "/look/a/": true,
		"/look/a..": true, "/look/...": true, "/look/..a/b": true, "/look/a%2Fb": true, "/look/%252e%252e/bill": true, "/look/100%": true,
		"/look?back=../bill": true, "/look?/../bill#f": true, "/look/%C3%A9;v=1,2": true, "/look/../look/a": true, "/look//../../bill/../look": true,
	} {
		if got := pathStaysInClass([]byte(path), "look"); got != want {
			t.Errorf("pathStaysInClass(%q) = %v, want %v", path, got, want)
		}
	}
}
