package balancer

import (
	"fmt"
	"math"
	"reflect"
	"testing"
)

// findNaN searches a value and everything it refers to for NaN. It returns the path of the first NaN; empty if there is none.
func findNaN(path string, v reflect.Value, visited map[uintptr]bool) string {
	switch v.Kind() {
	case reflect.Float64:
		if math.IsNaN(v.Float()) {
			return path
		}
	case reflect.Pointer:
		if v.IsNil() || visited[v.Pointer()] {
			return ""
		}
		visited[v.Pointer()] = true
		return findNaN(path, v.Elem(), visited)
	case reflect.Interface:
		return findNaN(path, v.Elem(), visited)
	case reflect.Struct:
		for i := range v.NumField() {
			if found := findNaN(path+"."+v.Type().Field(i).Name, v.Field(i), visited); found != "" {
				return found
			}
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			if found := findNaN(fmt.Sprintf("%s[%d]", path, i), v.Index(i), visited); found != "" {
				return found
			}
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			if found := findNaN(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key), visited); found != "" {
				return found
			}
		}
	}
	return ""
}

// failOnNaN fails the test if the balancer's state contains NaN. NaN spreads through calculations, and a budget or score that is NaN never
// recovers.
func failOnNaN(t *testing.T, b *Balancer) {
	t.Helper()
	if path := findNaN("balancer", reflect.ValueOf(b), map[uintptr]bool{}); path != "" {
		t.Fatalf("%s is NaN", path)
	}
}

// findNaN must detect NaN behind each kind of reference that the balancer's state uses.
func TestFindNaNInNestedValues(t *testing.T) {
	type inner struct{ value float64 }
	for name, v := range map[string]any{
		"pointer": &inner{math.NaN()}, "slice": []inner{{1}, {math.NaN()}}, "map": map[string]*inner{"a": {math.NaN()}}, "array": [1]float64{math.NaN()},
		"interface": []any{inner{math.NaN()}},
	} {
		if findNaN("", reflect.ValueOf(v), map[uintptr]bool{}) == "" {
			t.Errorf("findNaN found no NaN behind this kind of reference: %s, want its path", name)
		}
	}
	if path := findNaN("", reflect.ValueOf([]float64{0, math.Inf(1)}), map[uintptr]bool{}); path != "" {
		t.Errorf("findNaN = %q for a value without NaN, want an empty path", path)
	}
}

// Answers after exactly 0 ms once made the typical unit time 0. Divisions by it turned slow start budgets, the exploration budget and the
// estimated load of other nodes into NaN, and a server got no requests during its whole slow start.
func TestAnswersAfterZeroTimeCauseNoNaN(t *testing.T) {
	set := settings()
	set.LoadReports = true
	b := newTestNode(t, set, testEndpoints(2)...)
	starting := Endpoint{ID: "cold", Zone: "z", Capacity: 1}
	for i := range 20 {
		if i == 5 {
			starting.Started = b.now
			b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{starting}})
		}
		for range 2 { // two requests at the same time
			id, acts := b.arrive("read", 2000)
			if server := sentTo(acts); server != "" {
				b.step(AttemptCompleted{ID: id, Server: server, Outcome: OK, RequestFinished: true, Report: LoadReport{Valid: true, InFlight: 1}})
			}
			failOnNaN(t, b.balancer)
		}
		b.advance(250)
		failOnNaN(t, b.balancer)
	}
	served := 0
	for range 200 {
		if b.serve("read", 10, allOK) == "cold" {
			served++
		}
	}
	if served == 0 {
		t.Error("server in slow start served 0 of 200 requests, want some")
	}
}
