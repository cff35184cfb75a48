package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// viewDelayIntervals is how many probe intervals a change is delayed, so that changes with the same cause are published in one
	// view.
	viewDelayIntervals = 1

	// maxViewDelayIntervals is the maximum delay, in probe intervals, while further suspicions are about to expire.
	maxViewDelayIntervals = 4
)

// View is the set of members of the cluster, including this process. Views with the same Hash have the same members. Each
// process increases Number with each new view, so views of different processes with the same members may differ in Number.
type View struct {
	Number  uint64   `json:"number"`
	Hash    uint64   `json:"-"`
	Members []string `json:"members"`
}

func hashNames(names []string) uint64 {
	d := xxhash.New()
	for _, name := range names {
		_, _ = d.WriteString(name)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// View returns the current view.
func (c *Core) View() View { return c.view }

// markViewChanged records that the published view is out of date.
func (c *Core) markViewChanged() {
	if c.viewChangedAt < 0 {
		c.viewChangedAt = c.now
	}
}

// publishView publishes a new view after the delay that collects changes with the same cause. The suspicions of members that are
// lost at the same time expire one after another; without the delay each expiry would lead to a separate view.
func (c *Core) publishView() {
	if c.viewChangedAt < 0 || c.now-c.viewChangedAt < viewDelayIntervals*c.options.ProbeInterval {
		return
	}
	if c.now-c.viewChangedAt < maxViewDelayIntervals*c.options.ProbeInterval && c.expiryIsNear() {
		return
	}
	names, damped := c.namesInView()
	c.viewChangedAt = -1
	if damped { // check again until the damping ends
		c.viewChangedAt = c.now
	}
	if slices.Equal(names, c.view.Members) {
		return
	}
	joined := missingFrom(c.view.Members, names)
	removed := missingFrom(names, c.view.Members)
	c.view = View{Number: max(c.view.Number, c.highestViewNumber) + 1, Members: names, Hash: hashNames(names)}
	c.highestViewNumber = max(c.highestViewNumber, c.view.Number)
	c.emit(EventView, "the cluster view changed", "view", c.view.Number, "members", len(names), "in", joined, "out", removed)
}

// expiryIsNear reports whether a suspicion expires within two probe intervals.
func (c *Core) expiryIsNear() bool {
	for _, p := range c.peers.byName {
		if p.state != Suspect {
			continue
		}
		suspectFor := c.now - p.suspectedAt
		if suspectFor+2*c.options.ProbeInterval > c.suspicionTimeout(p.confirmations()) {
			return true
		}
	}
	return false
}

// namesInView returns the sorted names of the members of a new view, and whether damping keeps any member out of it.
func (c *Core) namesInView() (names []string, damped bool) {
	names = []string{c.options.Name}
	for _, p := range c.peers.byName {
		switch {
		case !p.state.inView():
		case c.now < p.dampedUntil:
			damped = true
		default:
			names = append(names, p.name)
		}
	}
	slices.Sort(names)
	return names, damped
}

// missingFrom returns the elements of names that are not in list.
func missingFrom(list, names []string) []string {
	var out []string
	for _, name := range names {
		if !slices.Contains(list, name) {
			out = append(out, name)
		}
	}
	return out
}

// viewSize returns the number of members that are currently alive or suspect, including this process.
func (c *Core) viewSize() int {
	n := 1
	for _, p := range c.peers.sorted() {
		if p.state.inView() {
			n++
		}
	}
	return n
}
