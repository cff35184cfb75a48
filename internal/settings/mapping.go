package settings

import "tackhub.example/tackhub/balancer"

// idempotency maps the values of "effect", a key of a class.
var idempotency = map[string]balancer.Idempotency{
	"free":        balancer.Idempotent,
	"guarded":     balancer.IdempotentWithKey,
	"single_shot": balancer.NonIdempotent,
}

// dedupScopes maps the values of "group", a key of a class.
var dedupScopes = map[string]balancer.DedupScope{
	"all":  balancer.DedupAcrossFleet,
	"zone": balancer.DedupWithinZone,
	"cell": balancer.DedupWithinCell,
}

// balancerSettings converts the settings object to the balancer's settings, except for the settings of
// load reports, which are converted by reportIndexes and Parse.
func balancerSettings(o *options) balancer.Settings {
	return balancer.Settings{
		Node:    o.Me,
		Nodes:   *o.FleetSize,
		Zone:    o.Zone,
		Classes: balancerClasses(o.Classes),
		Tenants: balancerTenants(o.Realms),
		Goal: balancer.GoalWeights{
			Overall:      o.Goal.Whole,
			WorstWindow:  o.Goal.WorstWindow,
			WorstClass:   o.Goal.WorstClass,
			WorstTenant:  o.Goal.WorstTenant,
			TailLatency:  o.Goal.Tail,
			Availability: o.Goal.Nines,
		},
		OverQuotaFraction:  o.OverShare,
		WeightByWork:       o.CountedBy == "work",
		ClientsMarkRetries: o.Habits.MarksRetry,
		KeyAffinity:        o.Family.WarmKeys,
		WatchEndpoints:     o.Discovery == "subscribe",
		MaxPollInterval:    o.Rules.MustAskMs,
		CapacitiesListed:   o.Weights == "nominal" || o.Weights == "rough",
		DrainGrace:         *o.Rules.StopMs,
		ProbesAllowed:      o.Limits.Probes,
		GossipAllowed:      o.Limits.Peers,
		SlowStart: balancer.SlowStart{
			InitialCapacity: *o.Rules.ColdFrom,
			Duration:        *o.Rules.ColdMs,
			OverloadFactor:  *o.Rules.FallMultiple,
			OverloadWindow:  *o.Rules.FallMs,
		},
		MaxAttempts:       *o.Limits.Attempts,
		CancelAllowed:     o.Limits.MayCancel,
		RetryAfterAllowed: o.Limits.RetryAfter,
		MaxRetryAfter:     o.Limits.MaxRetryAfter,
		ConnectTimeout:    o.Limits.ConnectMs,
		Tick:              o.TickMs,
		Prices: balancer.Prices{
			CrossZone: o.Prices.CrossZone,
			Probe:     o.Prices.Probe,
			Handshake: o.Prices.Handshake,
			Gossip:    o.Prices.Peer,
		},
		CPUPerRequest: o.Limits.CPUPerRequest,
	}
}

func balancerClasses(classes []class) []balancer.Class {
	var out []balancer.Class
	for _, c := range classes {
		out = append(out, balancer.Class{
			Name:             c.Name,
			Idempotency:      idempotency[c.Effect],
			DedupScope:       dedupScopes[c.Group],
			DedupWindow:      c.WindowMs,
			LatencyObjective: c.AimMs,
			ObjectivePerWork: c.AimStretch,
			TotalTimeout:     c.HardMs,
			PriorityWeight:   c.Worth,
			LateFraction:     c.LateShare,
		})
	}
	return out
}

func balancerTenants(realms []realm) []balancer.Tenant {
	var out []balancer.Tenant
	for _, r := range realms {
		out = append(out, balancer.Tenant{Name: r.Name, Quota: r.Quota})
	}
	return out
}
