package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
)

// entryError describes a member of a list that cannot be used as it is.
type entryError struct {
	index int    // position among the members
	id    string // empty if it cannot be read
	err   error
}

func (e entryError) Error() string {
	if e.id == "" {
		return fmt.Sprintf("members[%d]: %v", e.index, e.err)
	}
	return fmt.Sprintf("members[%d] %q: %v", e.index, e.id, e.err)
}

// ParseList decodes a list in which every member must be usable. It reads the list of the configuration, which an operator can
// correct.
func ParseList(raw []byte) (List, error) {
	list, rejected, err := readList(raw)
	if err == nil && len(rejected) > 0 {
		err = rejected[0]
	}
	if err != nil {
		return List{}, err
	}
	return list, nil
}

// readList decodes a response of discovery. It returns an error if the response is no list: no JSON object, no revision, or neither
// "complete" nor "members". Members that cannot be used are returned as errors, and do not void the list: whatever else it says is
// in force as soon as discovery has written it. Such a member is withdrawn in the list if its id can be read, since no server may
// get new requests that the newest list does not clearly offer.
//
// A field may be null or left out where it has a default, and whole numbers may have a fraction of 0.
func readList(raw []byte) (List, []entryError, error) {
	var decoded struct {
		listHeader
		Members []memberEntry `json:"members"`
	}
	if json.Unmarshal(raw, &decoded) != nil || decoded.Members == nil {
		return readListByEntry(raw)
	}
	list, err := decoded.list()
	if err != nil {
		return List{}, nil, err
	}
	reader := newMemberReader(len(decoded.Members))
	for i, entry := range decoded.Members {
		reader.read(i, entry, nil)
	}
	list.Members = reader.members
	return list, reader.rejected, nil
}

// readListByEntry decodes a list of which a field is missing, null or of another type than expected.
func readListByEntry(raw []byte) (List, []entryError, error) {
	var decoded struct {
		listHeader
		Members json.RawMessage `json:"members"`
	}
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return List{}, nil, err
	}
	list, err := decoded.list()
	if err == nil && decoded.Complete == nil && len(decoded.Members) == 0 {
		err = errors.New(`"complete" and "members" are missing`)
	}
	if err != nil {
		return List{}, nil, err
	}
	var entries []json.RawMessage
	if len(decoded.Members) > 0 {
		if err := json.Unmarshal(decoded.Members, &entries); err != nil {
			return List{}, nil, fmt.Errorf("members: %w", err)
		}
	}
	reader := newMemberReader(len(entries))
	for i, raw := range entries {
		entry, err := decodeEntry(raw)
		reader.read(i, entry, err)
	}
	list.Members = reader.members
	return list, reader.rejected, nil
}

// listHeader holds the fields of a list besides its members.
type listHeader struct {
	Revision *json.Number `json:"revision"`
	Complete *bool        `json:"complete"`
}

// list returns a list without members.
func (h listHeader) list() (List, error) {
	if h.Revision == nil {
		return List{}, errors.New(`"revision" is missing`)
	}
	revision, err := parseRevision(*h.Revision)
	return List{Revision: revision, Complete: h.Complete != nil && *h.Complete}, err
}

// parseRevision returns a revision, which is a whole number from 0 to the largest int64.
func parseRevision(number json.Number) (int64, error) {
	revision, err := strconv.ParseInt(string(number), 10, 64)
	if err != nil { // not in the usual form; a float64 holds whole numbers up to 2^53 exactly
		var float float64
		float, err = number.Float64()
		if err == nil && (float != math.Trunc(float) || math.Abs(float) > 1<<53) {
			err = errors.New("not a whole number")
		}
		revision = int64(float)
	}
	if err == nil && revision < 0 {
		err = errors.New("negative")
	}
	if err != nil {
		return 0, fmt.Errorf("revision %s: %w", number, err)
	}
	return revision, nil
}

// memberEntry is a member as it is encoded: a whole number may have a fraction of 0.
type memberEntry struct {
	Member
	Cell float64 `json:"cell"`
}

// member converts and checks an entry. With an error, it returns the member as far as it can be read.
func (e memberEntry) member() (Member, error) {
	m := e.Member
	m.Cell = int(e.Cell)
	switch {
	case float64(m.Cell) != e.Cell:
		return m, fmt.Errorf("cell: %v is not a whole number", e.Cell)
	case m.ID == "":
		return m, errors.New("id is missing or empty")
	case m.Phase == PhaseDeleted:
		return m, nil // a deleted member needs no address
	}
	if _, _, err := net.SplitHostPort(m.HostPort); err != nil {
		return m, fmt.Errorf("host_port: %w", err)
	}
	return m, nil
}

// decodeEntry decodes one member. With an error, it returns the id and the phase; each is empty if it cannot be read.
func decodeEntry(raw json.RawMessage) (memberEntry, error) {
	var entry memberEntry
	err := json.Unmarshal(raw, &entry)
	if err == nil {
		return entry, nil
	}
	var id struct {
		ID string `json:"id"`
	}
	var phase struct {
		Phase string `json:"phase"`
	}
	if json.Unmarshal(raw, &id) != nil {
		return memberEntry{}, err
	}
	if json.Unmarshal(raw, &phase) != nil {
		phase.Phase = ""
	}
	return memberEntry{Member: Member{ID: id.ID, Phase: phase.Phase}}, err
}

// memberReader collects the members of a list so that each id occurs once.
type memberReader struct {
	members   []Member
	indexByID map[string]int
	rejected  []entryError
}

func newMemberReader(capacity int) *memberReader {
	return &memberReader{members: make([]Member, 0, capacity), indexByID: make(map[string]int, capacity)}
}

// read adds the member at a position of the list. A member that cannot be used, because of an earlier error or by its fields, is
// withdrawn.
func (r *memberReader) read(position int, entry memberEntry, err error) {
	m := entry.Member
	if err == nil {
		m, err = entry.member()
	}
	switch {
	case err == nil:
		err = r.add(m)
	case m.ID != "":
		r.withdraw(m)
	}
	if err != nil {
		r.rejected = append(r.rejected, entryError{index: position, id: m.ID, err: err})
	}
}

// add adds a member. A member that repeats an earlier one is ignored. If two members with one id differ, the server is withdrawn,
// and unless both withdraw it, an error is returned: the list does not clearly offer it.
func (r *memberReader) add(m Member) error {
	i, repeated := r.indexByID[m.ID]
	if !repeated {
		r.indexByID[m.ID] = len(r.members)
		r.members = append(r.members, m)
		return nil
	}
	earlier := r.members[i]
	if earlier == m {
		return nil
	}
	r.withdraw(m)
	if earlier.withdrawn() && m.withdrawn() {
		return nil
	}
	return errors.New("the id occurs twice with different entries")
}

// withdraw adds or replaces a member that must not get new requests. It is deleted if this entry or an earlier one says so.
func (r *memberReader) withdraw(m Member) {
	if m.Phase != PhaseDeleted {
		m.Phase = PhaseDraining
	}
	i, repeated := r.indexByID[m.ID]
	if !repeated {
		r.indexByID[m.ID] = len(r.members)
		r.members = append(r.members, m)
		return
	}
	if r.members[i].Phase != PhaseDeleted {
		r.members[i] = m
	}
}

// withdrawn reports whether the phase says that the server must not get new requests.
func (m Member) withdrawn() bool { return m.Phase == PhaseDraining || m.Phase == PhaseDeleted }
