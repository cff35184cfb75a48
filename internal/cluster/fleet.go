package cluster

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/internal/quota"
)

const (
	// tellAgain is by how much the end of a share must have moved before the module hears of it: leases are renewed a few
	// times in their span, and each piece of news is an event for the module.
	tellAgain = 100 * time.Millisecond

	// lifelinesEach of one member may stand: the one before may be half dead, and is kept until its end is known.
	lifelinesEach = 3

	// lifelineAgain is how long after one broke the next is tried.
	lifelineAgain = time.Second
)

// fleet is the link's part in shares of what the whole fleet may use; nil where they are off.
type fleet struct {
	l      *link
	s      *quota.Allocator // nil until this process has joined: its number may change until then
	told   quota.Allocation
	wrote  bool               // told holds what the module has
	past   []AllocationRecord // for whoever asks
	sum    uint32
	people []string // partners

	mu    sync.Mutex
	lines map[string]int // lifelines that others hold to this process, by member
}

// fleetOf makes the part; nil where shares are not configured. From the first moment the module has nothing: what it had
// evenly others may hold by now.
func fleetOf(l *link) *fleet {
	if len(l.o.QuotaMembers) == 0 {
		return nil
	}
	return &fleet{l: l, sum: quota.MembersHash(l.o.QuotaMembers), lines: map[string]int{}}
}

// begin has the module start from nothing.
func (f *fleet) begin(ctx context.Context) {
	if f == nil {
		return
	}
	f.l.node.ApplyEvent(balancer.FleetQuota{}, true)
	f.people = quota.New(quota.Options{Name: f.l.name, Members: f.l.o.QuotaMembers}, 0).Peers()
	for _, name := range f.people {
		f.l.ending.Go(func() { f.lifeline(ctx, name) })
	}
}

// end gives everything back before anybody can see that this process ends.
func (f *fleet) end() {
	if f != nil {
		f.l.node.ApplyEvent(balancer.FleetQuota{}, true)
	}
}

// hear takes what concerns shares from a message.
func (f *fleet) hear(m *membership.Message) {
	if f == nil || f.s == nil {
		return
	}
	now := f.l.now()
	f.s.MemberSeen(now, m.From, m.Generation, m.Address)
	switch m.Kind {
	case membership.RenewLease:
		if m.MembersHash != f.sum {
			f.l.drop("shares_differ")
			return
		}
		f.s.HandleRenew(now, m.From, m.Generation, m.Address, m.ForGeneration, m.Seq, m.MembersHash)
	case membership.GrantLease:
		f.s.HandleGrant(m.From, m.Generation, m.ForGeneration, m.Seq)
	}
	f.carry()
}

// tick asks for leases, and has the module heed what has changed.
func (f *fleet) tick() {
	if f == nil {
		return
	}
	core := f.l.core
	if f.s == nil {
		if core.State() != membership.Alive {
			return
		}
		f.s = quota.New(quota.Options{Name: f.l.name, Members: f.l.o.QuotaMembers, Generation: core.Generation(), LeaseTTL: f.l.o.LeaseTTL.Std()}, f.l.now())
	}
	now := f.l.now()
	for _, name := range f.people {
		if start, address, ok := core.Process(name); ok {
			f.s.MemberSeen(now, name, start, address)
		}
	}
	if core.Connectivity() != membership.Superseded {
		f.s.Tick(now)
	}
	f.carry()
}

// ended notes that a process has ended.
func (f *fleet) ended(name string, start uint64) {
	if f.s != nil {
		f.s.ProcessEnded(name, start)
		f.carry()
	}
}

// carry tells the module its share, and then sends what may be sent only once that is heeded.
func (f *fleet) carry() {
	now := f.l.now()
	share := f.s.Allocation(now)
	if f.l.core.Connectivity() == membership.Superseded { // whoever has the name now has its part
		share = quota.Allocation{ValidUntil: math.MaxInt64}
	}
	out := f.s.TakeOutput()
	less := share.Fraction < f.told.Fraction || share.FractionAfter < f.told.FractionAfter
	if !f.wrote || share.Fraction != f.told.Fraction || share.FractionAfter != f.told.FractionAfter || share.ValidUntil > f.told.ValidUntil+tellAgain {
		at := balancer.Millis(math.MaxInt64)
		if share.ValidUntil != math.MaxInt64 {
			at = f.l.node.Clock().Now() + float64(share.ValidUntil-now)/float64(time.Millisecond)
		}
		// More counts from before it is told, less from when it is heeded.
		began := time.Now()
		until := int64(math.MaxInt64)
		if share.ValidUntil != math.MaxInt64 {
			until = began.Add(share.ValidUntil - now).UnixNano()
		}
		f.l.node.ApplyEvent(balancer.FleetQuota{Current: share.Fraction, Until: at, After: share.FractionAfter}, less && len(out) > 0)
		if less {
			began = time.Now()
		}
		if f.past = append(f.past, AllocationRecord{began.UnixNano(), share.Fraction, until, share.FractionAfter}); len(f.past) > pastKept {
			f.past = f.past[1:]
		}
		f.told, f.wrote = share, true
		f.l.count.Share.Set(int64(share.Fraction * 1e6))
	}
	for _, o := range out {
		kind := membership.RenewLease
		if o.Kind == quota.Grant {
			kind = membership.GrantLease
		}
		f.l.core.SendToMember(o.To, membership.Message{Kind: kind, ForGeneration: o.ForGeneration, Seq: o.Seq, MembersHash: f.sum})
	}
}

// pastKept are the last shares that are told of: more than a second's, so that whoever asks ten times a second misses none.
const pastKept = 32

// status is the part's, for whoever asks; nil where shares are off.
func (f *fleet) status() *QuotaStatus {
	if f == nil {
		return nil
	}
	out := &QuotaStatus{Allocations: slices.Clone(f.past)}
	if f.s != nil {
		out.Status = f.s.Status(f.l.now())
	}
	return out
}

// lifeline holds a connection to a partner on which nothing is ever sent after its first message, and which this process never
// closes while it lives. When its kernel closes it, the process has ended: that is what the partner waits for.
func (f *fleet) lifeline(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if conn, err := f.open(ctx, name); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			_, _ = conn.Read(make([]byte, 1)) // until it breaks
			stop()
			_ = conn.Close()
		}
		select {
		case <-time.After(lifelineAgain):
		case <-ctx.Done():
		}
	}
}

func (f *fleet) open(ctx context.Context, name string) (net.Conn, error) {
	var hello membership.Message
	ready := make(chan bool, 1)
	select {
	case f.l.asks <- func() {
		if f.s != nil {
			hello = f.l.core.WithSender(membership.Message{Kind: membership.LivenessStream})
		}
		ready <- f.s != nil
	}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if !<-ready {
		return nil, errors.New("not joined yet")
	}
	to, ok := f.l.address(membership.OutgoingMessage{To: name, Address: f.l.o.QuotaMembers[name]})
	if !ok {
		return nil, errors.New("no address")
	}
	dialer := net.Dialer{Timeout: streamTime}
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(streamTime))
	if _, err := writeState(conn, hello); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// hold waits for the end of a partner's lifeline. Only the kernel's own word counts: a reset, a time-out or silence may have
// come from the way.
func (f *fleet) hold(ctx context.Context, conn net.Conn, m *membership.Message) {
	if f == nil || !slices.Contains(f.people, m.From) || m.Address != f.l.o.QuotaMembers[m.From] {
		f.l.drop("lifeline")
		return
	}
	f.mu.Lock()
	if f.lines[m.From]++; f.lines[m.From] > lifelinesEach {
		f.lines[m.From]--
		f.mu.Unlock()
		f.l.drop("lifelines")
		return
	}
	f.mu.Unlock()
	_ = conn.SetDeadline(time.Time{})
	_, err := conn.Read(make([]byte, 1))
	f.mu.Lock()
	f.lines[m.From]--
	f.mu.Unlock()
	if !errors.Is(err, io.EOF) {
		return
	}
	select {
	case f.l.asks <- func() { f.ended(m.From, m.Generation) }:
	case <-ctx.Done():
	}
}
