package endpointmerge

import "slices"

// addressClaims records which servers claim which address. An address belongs to one member only: if several servers claim it,
// for example the old and the new one after a process was replaced, only the address's owner is a member.
type addressClaims struct {
	wanted    map[string]string // by server id: the address that it claims
	claimants map[string]idSet  // by address: the ids of the servers that claim it
}

func newAddressClaims() addressClaims {
	return addressClaims{wanted: map[string]string{}, claimants: map[string]idSet{}}
}

// claim sets the address that a candidate claims, or releases its claim if the candidate is nil. It sets contested to true for
// each address whose claims changed.
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

// addressOwner returns the id of the candidate that gets an address: the one whose source has the highest precedence for
// addresses, then the one that started last, then the one with the lowest id.
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

// hasAddressPriority reports whether candidate c gets an address before the other candidate.
func (v *View) hasAddressPriority(c, other *member) bool {
	sources := v.precedence[FieldAddress]
	rank := slices.Index(sources, c.FieldSources[FieldAddress])
	otherRank := slices.Index(sources, other.FieldSources[FieldAddress])
	if rank != otherRank {
		return rank < otherRank
	}
	if c.Started != other.Started {
		return c.Started > other.Started
	}
	return c.ID < other.ID
}
