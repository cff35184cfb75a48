package settings

// The types in this file are the settings object as it is written in a configuration file and on the
// simulator's wire. The JSON keys are defined by the operators; mapping.go converts the values to the
// balancer's terms.

// class is an entry of "classes".
type class struct {
	Name       string  `json:"name"`
	AimMs      float64 `json:"aim_ms"`
	AimStretch float64 `json:"aim_stretch"`
	WindowMs   float64 `json:"dedup_window_ms"`
	Effect     string  `json:"effect"`
	Group      string  `json:"group"`
	HardMs     float64 `json:"hard_limit_ms"`
	LateShare  float64 `json:"late_share"`
	Streamed   bool    `json:"streamed"` // used only for the digest
	Worth      float64 `json:"worth"`
}

// realm is an entry of "realms", which lists the tenants.
type realm struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
}

// options is the settings object.
type options struct {
	Classes []class `json:"classes"`
	Habits  struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"client_habits"`
	CountedBy string `json:"counted_by"`
	Discovery string `json:"discovery"`
	Family    struct {
		WarmKeys bool `json:"warm_keys"`
	} `json:"family_info"`
	FleetSize *int `json:"fleet_size"`
	Goal      struct {
		Whole       float64  `json:"whole"`
		WorstClass  float64  `json:"worst_class"`
		WorstTenant float64  `json:"worst_tenant"`
		WorstWindow float64  `json:"worst_window"`
		Tail        float64  `json:"tail"`
		MissAllowed *float64 `json:"miss_allowed"` // validated, otherwise unused
		Nines       float64  `json:"log_loss_part"`
		NinesWanted *float64 `json:"nines_wanted"` // validated, otherwise unused
	} `json:"goal"`
	Me     int `json:"me"`
	Limits struct {
		Attempts      *int    `json:"attempts_cap"`
		IdleMs        float64 `json:"conn_idle_ms"`
		ConnectMs     float64 `json:"connect_timeout_ms"`
		MaxRetryAfter float64 `json:"max_retry_after_ms"`
		CPUPerRequest float64 `json:"cpu_us_per_request"`
		MayCancel     bool    `json:"may_cancel"`
		Peers         bool    `json:"peers"`
		Probes        bool    `json:"probes"`
		RetryAfter    bool    `json:"retry_after"`
		SecondCopies  bool    `json:"second_copies"` // used only for the digest
	} `json:"policy_limits"`
	Rules struct {
		AnswerSlackMs float64  `json:"answer_slack_ms"`
		ColdFrom      *float64 `json:"cold_from"`
		ColdMs        *float64 `json:"cold_ms"`
		FallMs        *float64 `json:"fall_ms"`
		FallMultiple  *float64 `json:"fall_multiple"`
		MustAskMs     float64  `json:"must_ask_in_ms"`
		StopMs        *float64 `json:"stop_sending_within_ms"`
	} `json:"obligations"`
	OverShare float64 `json:"over_share_worth"`
	Prices    struct {
		CrossZone float64 `json:"cross_zone"`
		Handshake float64 `json:"handshake"`
		LateFail  float64 `json:"late_fail"` // used only for the digest
		Peer      float64 `json:"peer"`
		Probe     float64 `json:"probe"`
	} `json:"prices"`
	Realms []realm `json:"realms"`
	Report struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"report"`
	TickMs  float64 `json:"tick_ms"`
	Weights string  `json:"weights"`
	Zone    string  `json:"zone"`
}
