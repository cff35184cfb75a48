package cluster

import (
	"context"
	"time"

	"tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/internal/quota"
)

// Status is the status of a member and its view of the other members.
type Status struct {
	membership.Status
	Quota    *QuotaStatus    `json:"shares,omitempty"`   // nil if the quota is off
	Overload *OverloadStatus `json:"overload,omitempty"` // nil if overload control is off
}

// QuotaStatus is the fraction of the fleet's quota that this process may use, with recent changes.
type QuotaStatus struct {
	quota.Status
	Allocations []AllocationRecord `json:"told"` // the latest applied allocations, oldest first
}

// AllocationRecord is an allocation that was passed to the balancer. Fraction applies from EffectiveFrom until ValidUntil,
// and FractionAfter from then on. Times are Unix nanoseconds of the wall clock.
type AllocationRecord struct {
	EffectiveFrom int64   `json:"at_ns"`
	Fraction      float64 `json:"value"`
	ValidUntil    int64   `json:"until_ns"`
	FractionAfter float64 `json:"after"`
}

// OverloadStatus is the load of the fleet as known to a member. Rates are requests per second, by class.
type OverloadStatus struct {
	Active       bool               `json:"active"` // whether load is shed
	Requested    map[string]float64 `json:"asked_per_s"`
	Accepted     map[string]float64 `json:"done_per_s"`  // requests that were not rejected
	Admit        map[string]float64 `json:"admit"`       // admitted fraction of the requests
	Limit        float64            `json:"limit_per_s"` // admitted requests per second, of all classes; 0: no limit
	Members      int                `json:"members"`     // number of members that the rates cover
	Coverage     float64            `json:"cover"`       // fraction of the reporters that were heard from
	FailureRatio float64            `json:"failing"`     // fraction of attempts that fail
	RetryBudget  float64            `json:"retries"`     // fraction of the retry budget that may be used
	Duration     int64              `json:"for_ms"`      // milliseconds since load shedding started; 0 if no load is shed
}

// currentStatus gets the status from the core's goroutine. ok is false if that goroutine does not accept the call within
// statusTimeout, or if the context ends first.
func (l *link) currentStatus(ctx context.Context) (status Status, ok bool) {
	done := make(chan struct{})
	call := func() {
		status = Status{Status: l.core.Status(), Quota: l.quota.status(), Overload: l.overload.status()}
		close(done)
	}
	select {
	case l.coreCalls <- call:
		<-done
		return status, true
	case <-ctx.Done():
	case <-time.After(statusTimeout):
	}
	return status, false
}
