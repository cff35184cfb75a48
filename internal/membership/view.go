package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// viewDelay is how many probe intervals a change waits for others of the same cause, so that they make one view.
	viewDelay = 1

	// maxViewDelay is how many probe intervals a change waits at most while further members are about to be taken out.
	maxViewDelay = 4
)

// View is the set of members that are in the cluster, this process included. Two processes with the same Hash hold the same
// members. Their numbers may differ; the numbers of one process only grow.
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

// viewChanged records that the view is out of date.
func (c *Core) viewChanged() {
	if c.viewChangedAt < 0 {
		c.viewChangedAt = c.now
	}
}

// publishView makes a new view once changes of one cause have come together. Members that are lost at the same moment fall due
// one after the other; without the wait each of them would make a view of its own.
func (c *Core) publishView() {
	if c.viewChangedAt < 0 || c.now-c.viewChangedAt < viewDelay*c.options.ProbeInterval {
		return
	}
	if c.now-c.viewChangedAt < maxViewDelay*c.options.ProbeInterval && c.expiryIsNear() {
		return
	}
	names, damped := c.namesInView()
	c.viewChangedAt = -1
	if damped { // look again until it may come back
		c.viewChangedAt = c.now
	}
	if slices.Equal(names, c.view.Members) {
		return
	}
	joined := missingFrom(c.view.Members, names)
	gone := missingFrom(names, c.view.Members)
	c.view = View{Number: max(c.view.Number, c.highestView) + 1, Members: names, Hash: hashNames(names)}
	c.highestView = max(c.highestView, c.view.Number)
	c.emit(EventView, "the members have changed", "view", c.view.Number, "members", len(names), "in", joined, "out", gone)
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

// namesInView returns the sorted names of a new view, and whether a member is kept out of it by damping.
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

// missingFrom returns the names that are not in a list.
func missingFrom(list, names []string) []string {
	var out []string
	for _, name := range names {
		if !slices.Contains(list, name) {
			out = append(out, name)
		}
	}
	return out
}

// viewSize is the number of members that are in the cluster now, this process included.
func (c *Core) viewSize() int {
	n := 1
	for _, p := range c.peers.sorted() {
		if p.state.inView() {
			n++
		}
	}
	return n
}
