package cluster

import (
	"context"
	"time"

	"tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/internal/quota"
)

// Status is what a member says about itself and the others.
type Status struct {
	membership.Status
	Quota    *QuotaStatus    `json:"shares,omitempty"`   // nil where the quota is off
	Overload *OverloadStatus `json:"overload,omitempty"` // nil where overload control is off
}

// QuotaStatus is what this process may use of the fleet's quota.
type QuotaStatus struct {
	quota.Status
	Allocations []AllocationRecord `json:"told"` // the latest that were applied, oldest first
}

// AllocationRecord is an allocation as the balancer had it from a moment on. Times are Unix nanoseconds by the wall clock; from
// ValidUntil on FractionAfter holds.
type AllocationRecord struct {
	At            int64   `json:"at_ns"`
	Fraction      float64 `json:"value"`
	ValidUntil    int64   `json:"until_ns"`
	FractionAfter float64 `json:"after"`
}

// OverloadStatus is what a member knows of the fleet's load. Rates are by class and second.
type OverloadStatus struct {
	Active       bool               `json:"active"` // load is shed
	Requested    map[string]float64 `json:"asked_per_s"`
	Accepted     map[string]float64 `json:"done_per_s"`  // not rejected
	Admit        map[string]float64 `json:"admit"`       // fraction of the requests that is admitted
	Limit        float64            `json:"limit_per_s"` // requests that are admitted; 0: all
	Members      int                `json:"members"`     // that the rates are of
	Coverage     float64            `json:"cover"`       // fraction of the members that have been heard from
	FailureRatio float64            `json:"failing"`     // fraction of all attempts that fail
	RetryBudget  float64            `json:"retries"`     // fraction of the retry budget that is free
	Duration     int64              `json:"for_ms"`      // since load is shed; 0 where it is not
}

// currentStatus gets the status from the core's owner; ok is false if it does not answer in time.
func (l *link) currentStatus(ctx context.Context) (status Status, ok bool) {
	done := make(chan struct{})
	call := func() {
		status = Status{Status: l.core.Status(), Quota: l.quota.status(), Overload: l.overload.status()}
		close(done)
	}
	select {
	case l.calls <- call:
		<-done
		return status, true
	case <-ctx.Done():
	case <-time.After(statusTimeout):
	}
	return status, false
}
