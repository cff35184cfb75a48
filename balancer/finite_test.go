package balancer

import (
	"fmt"
	"math"
	"reflect"
	"testing"
)

// findNaN returns the path to a field that holds NaN, among everything that a value refers to; empty where there is none.
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

// failOnNaN fails the test where the balancer holds what is no number: NaN spreads, and a budget or score that has become one never
// allows anything again.
func failOnNaN(t *testing.T, b *Balancer) {
	t.Helper()
	if path := findNaN("balancer", reflect.ValueOf(b), map[uintptr]bool{}); path != "" {
		t.Fatalf("%s is NaN", path)
	}
}

// The check itself is tried on a value that hides NaN in each way a balancer could.
func TestNaNIsFound(t *testing.T) {
	type inner struct{ value float64 }
	for name, v := range map[string]any{
		"pointer": &inner{math.NaN()}, "slice": []inner{{1}, {math.NaN()}}, "map": map[string]*inner{"a": {math.NaN()}}, "array": [1]float64{math.NaN()},
		"interface": []any{inner{math.NaN()}},
	} {
		if findNaN("", reflect.ValueOf(v), map[uintptr]bool{}) == "" {
			t.Errorf("not found behind a %s", name)
		}
	}
	if path := findNaN("", reflect.ValueOf([]float64{0, math.Inf(1)}), map[uintptr]bool{}); path != "" {
		t.Errorf("%s was taken for NaN", path)
	}
}

// Answers after exactly 0 ms made the typical unit time 0, and with it a warming server's budget, the ration of explorations and the load
// of other nodes no numbers; the warming server got nothing for the whole of its slow start.
func TestAnswersAfterNoTimeLeaveNumbers(t *testing.T) {
	set := settings()
	set.LoadReports = true
	b := newTestNode(t, set, testEndpoints(2)...)
	warming := Endpoint{ID: "cold", Zone: "z", Capacity: 1}
	for i := range 20 {
		if i == 5 {
			warming.Started = b.now
			b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{warming}})
		}
		for range 2 { // two at the same time
			id, acts := b.arrive("read", 2000)
			if server := sentTo(acts); server != "" {
				b.step(AttemptCompleted{ID: id, Server: server, Outcome: OK, RequestFinished: true, Report: LoadReport{Valid: true, InFlight: 1}})
			}
			failOnNaN(t, b.balancer)
		}
		b.pass(250)
		failOnNaN(t, b.balancer)
	}
	served := 0
	for range 200 {
		if b.serve("read", 10, allOK) == "cold" {
			served++
		}
	}
	if served == 0 {
		t.Error("the warming server gets nothing")
	}
}
