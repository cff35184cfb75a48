package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"tackhub.example/tackhub/balancer"
)

// During an upgrade, the old and the new process of a node compare the digests of their settings. State
// that depends on the settings is transferred only if the digests are equal. The digested form must
// therefore be the same in every version. The types below define it. The names and the order of their
// fields must never change, even if the balancer renames a setting, and they keep values that are no
// longer used elsewhere.

type digestedSettings struct {
	Logic       digestedBalancer
	LoadAt      int
	WaitingAt   int
	LoadNames   []string
	ConnIdle    float64
	AnswerSlack float64
}

type digestedBalancer struct {
	Node, Nodes int
	Zone        string
	Classes     []digestedClass
	Tenants     []digestedTenant
	Goal        digestedGoal
	OverShare   float64
	CountWork   bool
	Subscribe   bool
	Sized       bool
	MarksRetry  bool
	Reports     bool
	ProbedOnly  bool
	Peers       bool
	WarmKeys    bool

	DrainGrace   float64
	ColdFrom     float64
	ColdFor      float64
	FallMultiple float64
	FallFor      float64
	MustAskIn    float64

	MaxAttempts    int
	MayCancel      bool
	MayProbe       bool
	SecondCopies   bool
	RetryAfter     bool
	MaxRetryAfter  float64
	ConnectTimeout float64
	Tick           float64
	LateFailPrice  float64
	CrossZonePrice float64
	ProbePrice     float64
	HandshakePrice float64
	PeerPrice      float64
	CPUPerRequest  float64
}

type digestedClass struct {
	Name       string
	Effect     int
	Group      int
	Window     float64
	Aim        float64
	AimStretch float64
	HardLimit  float64
	Worth      float64
	LateShare  float64
	Streamed   bool
}

type digestedTenant struct {
	Name  string
	Quota float64
}

type digestedGoal struct{ Whole, WorstWindow, WorstClass, WorstTenant, Tail, Nines float64 }

// digest returns the digest of a settings object and of the Settings that were parsed from it.
func digest(o *options, s Settings) string {
	raw, err := json.Marshal(digestedSettings{
		Logic:       digestedForm(o, s.Balancer),
		LoadAt:      s.InFlightIndex,
		WaitingAt:   s.QueuedIndex,
		LoadNames:   s.ReportFields,
		ConnIdle:    s.ServerIdleTimeout,
		AnswerSlack: s.ResponseSlack,
	})
	if err != nil { // an infinite number, which JSON cannot represent
		return ""
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

func digestedForm(o *options, s balancer.Settings) digestedBalancer {
	d := digestedBalancer{
		Node:       s.Node,
		Nodes:      s.Nodes,
		Zone:       s.Zone,
		Goal:       digestedGoal{o.Goal.Whole, o.Goal.WorstWindow, o.Goal.WorstClass, o.Goal.WorstTenant, o.Goal.Tail, o.Goal.Nines},
		OverShare:  s.OverQuotaFraction,
		CountWork:  s.WeightByWork,
		Subscribe:  s.WatchEndpoints,
		Sized:      s.CapacitiesListed,
		MarksRetry: s.ClientsMarkRetries,
		Reports:    s.LoadReports,
		ProbedOnly: s.ReportsFromProbesOnly,
		Peers:      s.GossipAllowed,
		WarmKeys:   s.KeyAffinity,

		DrainGrace:   s.DrainGrace,
		ColdFrom:     s.SlowStart.InitialCapacity,
		ColdFor:      s.SlowStart.Duration,
		FallMultiple: s.SlowStart.OverloadFactor,
		FallFor:      s.SlowStart.OverloadWindow,
		MustAskIn:    s.MaxPollInterval,

		MaxAttempts:    s.MaxAttempts,
		MayCancel:      s.CancelAllowed,
		MayProbe:       s.ProbesAllowed,
		SecondCopies:   o.Limits.SecondCopies,
		RetryAfter:     s.RetryAfterAllowed,
		MaxRetryAfter:  s.MaxRetryAfter,
		ConnectTimeout: s.ConnectTimeout,
		Tick:           s.Tick,
		LateFailPrice:  o.Prices.LateFail,
		CrossZonePrice: s.Prices.CrossZone,
		ProbePrice:     s.Prices.Probe,
		HandshakePrice: s.Prices.Handshake,
		PeerPrice:      s.Prices.Gossip,
		CPUPerRequest:  s.CPUPerRequest,
	}
	for i, c := range s.Classes {
		d.Classes = append(d.Classes, digestedClass{
			Name:       c.Name,
			Effect:     int(c.Idempotency),
			Group:      int(c.DedupScope),
			Window:     c.DedupWindow,
			Aim:        c.LatencyObjective,
			AimStretch: c.ObjectivePerWork,
			HardLimit:  c.TotalTimeout,
			Worth:      c.PriorityWeight,
			LateShare:  c.LateFraction,
			Streamed:   o.Classes[i].Streamed,
		})
	}
	for _, t := range s.Tenants {
		d.Tenants = append(d.Tenants, digestedTenant{t.Name, t.Quota})
	}
	return d
}
