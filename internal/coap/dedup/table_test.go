package dedup

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// message is a confirmable request.
func message(endpoint string, id uint16, fingerprint uint64, idempotent bool) Message {
	return Message{Key: Key{endpoint, id}, Confirmable: true, Idempotent: idempotent, Fingerprint: fingerprint}
}

func TestLifeOfAnExchange(t *testing.T) {
	tb := New(Limits{MaxEntries: 10, MaxBytes: 10_000, MaxPerEndpoint: 5})
	m := message("a", 7, 1, false)
	receive := func(at time.Duration, m Message, want Verdict, text string, acked bool) {
		t.Helper()
		if v, answer, a := tb.Receive(at, m); v != want || string(answer) != text || a != acked {
			t.Errorf("at %v: %v %q %v, want %v %q %v", at, v, answer, a, want, text, acked)
		}
	}
	receive(0, m, Fresh, "", false)
	receive(1*time.Second, m, InProgress, "", false)
	tb.MarkAcknowledged(m.Key)
	receive(2*time.Second, m, InProgress, "", true)
	receive(2*time.Second, message("a", 7, 2, false), EndpointFull, "", false) // another request under an id in progress
	tb.Complete(m.Key, []byte("done"), false)
	receive(3*time.Second, m, Replay, "done", false)
	receive(246*time.Second, m, Replay, "done", false)
	receive(247*time.Second, m, Fresh, "", false) // its lifetime is over
	tb.Complete(m.Key, []byte("again"), false)
	receive(248*time.Second, message("a", 7, 2, false), Fresh, "", false) // rebooted: same id, another token
	tb.Remove(m.Key)
	receive(249*time.Second, message("a", 7, 2, false), Fresh, "", false) // rejected before: it may run now
	receive(249*time.Second, message("b", 7, 2, false), Fresh, "", false) // another endpoint
	non := Message{Key: Key{"a", 8}, Fingerprint: 1}
	receive(300*time.Second, non, Fresh, "", false)
	tb.Complete(non.Key, []byte("non"), false)
	receive(444*time.Second, non, Replay, "non", false)
	receive(445*time.Second, non, Fresh, "", false)
}

// At the limits responses to idempotent requests are evicted first, then new requests are rejected; no exchange that had an
// effect is forgotten.
func TestLimits(t *testing.T) {
	tb := New(Limits{MaxEntries: 4, MaxBytes: 100_000, MaxPerEndpoint: 3})
	for i := range uint16(2) {
		tb.Receive(0, message("a", i, 1, true))
		tb.Complete(Key{"a", i}, []byte("safe"), false)
		tb.Receive(0, message("b", i, 1, false))
		tb.Complete(Key{"b", i}, []byte("effect"), false)
	}
	for i := range uint16(2) {
		if v, _, _ := tb.Receive(1, message("c", i, 1, false)); v != Fresh {
			t.Errorf("message %d: %v, want it to take an idempotent request's place", i, v)
		}
	}
	if v, _, _ := tb.Receive(1, message("d", 1, 1, true)); v != TableFull {
		t.Errorf("with effects alone left: %v", v)
	}
	for i := range uint16(2) {
		if v, answer, _ := tb.Receive(1, message("b", i, 1, false)); v != Replay || string(answer) != "effect" {
			t.Errorf("an effect was forgotten: %v", v)
		}
	}
	if s := tb.Stats(); s.Evicted != 2 || s.TableFull != 1 {
		t.Errorf("stats %+v", s)
	}
	small := New(Limits{MaxEntries: 10, MaxBytes: EntryCost + 10, MaxPerEndpoint: 3})
	small.Receive(0, message("a", 1, 1, false))
	small.Complete(Key{"a", 1}, make([]byte, 11), false) // no room for its bytes: it is remembered without them
	if v, answer, _ := small.Receive(1, message("a", 1, 1, false)); v != Replay || answer != nil {
		t.Errorf("%v %q", v, answer)
	}
	one := New(Limits{MaxEntries: 100, MaxBytes: 100_000, MaxPerEndpoint: 2})
	one.Receive(0, message("a", 1, 1, false))
	one.Receive(0, message("a", 2, 1, false))
	if v, _, _ := one.Receive(0, message("a", 3, 1, false)); v != EndpointFull {
		t.Errorf("an endpoint beyond its limit: %v", v)
	}
	if v, _, _ := one.Receive(0, message("b", 3, 1, false)); v != Fresh {
		t.Errorf("another endpoint beside it: %v", v)
	}
}

// A flood of ids from invented endpoints stays within the limits, while a device with an exchange in progress gets its response.
func TestFlood(t *testing.T) {
	b := Limits{MaxEntries: 5000, MaxBytes: 3 << 20, MaxPerEndpoint: 50}
	tb := New(b)
	good := message("good", 1, 1, false)
	tb.Receive(0, good)
	for i := range 1_000_000 {
		m := message(fmt.Sprint("evil", i%100_000), uint16(i), 1, i%2 == 0)
		if v, _, _ := tb.Receive(time.Duration(i), m); v == Fresh {
			tb.Complete(m.Key, make([]byte, 200), false)
		}
		if tb.Len() > b.MaxEntries || tb.Bytes() > b.MaxBytes {
			t.Fatalf("%d entries, %d bytes", tb.Len(), tb.Bytes())
		}
	}
	tb.Complete(good.Key, []byte("answer"), false)
	if v, answer, _ := tb.Receive(time.Second, good); v != Replay || string(answer) != "answer" {
		t.Errorf("the device's own exchange: %v %q", v, answer)
	}
}

// referenceTable forgets exchanges by their lifetime alone.
type referenceTable map[Key]*referenceEntry

type referenceEntry struct {
	fingerprint uint64
	inProgress  bool
	response    string
	expiresAt   time.Duration
}

// Whatever comes, a request runs at most once in its lifetime under one id and fingerprint, and a replay is its own response.
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := New(Limits{MaxEntries: 6, MaxBytes: 6*EntryCost + 40, MaxPerEndpoint: 4})
		ref := referenceTable{}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Second
			m := Message{Key: Key{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint"), uint16(rapid.IntRange(1, 3).Draw(t, "id"))},
				Confirmable: true, Fingerprint: uint64(rapid.IntRange(1, 2).Draw(t, "print"))}
			for k, e := range ref {
				if !e.inProgress && e.expiresAt <= now {
					delete(ref, k)
				}
			}
			if rapid.Bool().Draw(t, "answers") {
				if e := ref[m.Key]; e != nil && e.inProgress {
					e.inProgress = false
					e.response = fmt.Sprint(i)
					tb.Complete(m.Key, []byte(e.response), false)
				}
				continue
			}
			v, answer, _ := tb.Receive(now, m)
			e := ref[m.Key]
			switch {
			case v == Fresh && e != nil && e.fingerprint == m.Fingerprint:
				t.Fatalf("%+v ran again at %v", m, now)
			case v == Fresh:
				ref[m.Key] = &referenceEntry{fingerprint: m.Fingerprint, inProgress: true, expiresAt: now + ExchangeLifetime}
			case v == InProgress && (e == nil || !e.inProgress || e.fingerprint != m.Fingerprint):
				t.Fatalf("joined to %+v", e)
			case v == Replay && (e == nil || e.inProgress || e.fingerprint != m.Fingerprint || answer != nil && string(answer) != e.response):
				t.Fatalf("replayed %q of %+v", answer, e)
			}
			if tb.Len() > 6 {
				t.Fatalf("%d entries", tb.Len())
			}
		}
	})
}
