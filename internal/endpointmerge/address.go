package endpointmerge

import "slices"

// addressClaims are the addresses that servers would have. Two servers cannot be at one address; if several claim one, such
// as the old and the new server after a process was replaced, only its owner is a member.
type addressClaims struct {
	wanted    map[string]string // by id: the address
	claimants map[string]idSet  // by address
}

func newAddressClaims() addressClaims {
	return addressClaims{wanted: map[string]string{}, claimants: map[string]idSet{}}
}

// claim sets the address that a candidate wants, none if it is nil, and adds the addresses that this affects to contested.
func (a addressClaims) claim(id string, c *member, contested map[string]bool) {
	before, claimed := a.wanted[id]
	if claimed && (c == nil || before != c.Address) {
		a.release(id, before)
		contested[before] = true
	}
	if c == nil {
		return
	}
	if a.claimants[c.Address] == nil {
		a.claimants[c.Address] = idSet{}
	}
	a.wanted[id] = c.Address
	a.claimants[c.Address][id] = true
	contested[c.Address] = true
}

func (a addressClaims) release(id, address string) {
	delete(a.wanted, id)
	delete(a.claimants[address], id)
	if len(a.claimants[address]) == 0 {
		delete(a.claimants, address)
	}
}

// addressOwner is the candidate that gets an address: the one whose source has precedence, then the one that started last,
// then the one with the lowest id.
func (v *View) addressOwner(address string, candidates map[string]*member) string {
	owner := ""
	for id := range v.addresses.claimants[address] {
		c := candidates[id]
		if c == nil {
			continue
		}
		if owner == "" || v.hasAddressPriority(c, candidates[owner]) {
			owner = id
		}
	}
	return owner
}

// hasAddressPriority reports whether a candidate gets an address rather than another.
func (v *View) hasAddressPriority(c, other *member) bool {
	order := v.precedence[FieldAddress]
	rank := slices.Index(order, c.FieldSources[FieldAddress])
	otherRank := slices.Index(order, other.FieldSources[FieldAddress])
	if rank != otherRank {
		return rank < otherRank
	}
	if c.Started != other.Started {
		return c.Started > other.Started
	}
	return c.ID < other.ID
}
