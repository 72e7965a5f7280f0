package placewire

// RolloutEvidence is what an entry instance has seen of a running rollout since it started. All counters
// are cumulative, so that a later message replaces an earlier one.
type RolloutEvidence struct {
	Service string `json:"s"`
	Started uint64 `json:"r"` // of the rollout
	// Process identifies the process of the entry instance, whose restart begins new counters.
	Process string `json:"p"`
	// AgeMs is the time since this instance first had a view with the rollout, in milliseconds.
	AgeMs int64 `json:"a"`
	// RunningOld is the number of requests of the service that run on targets of other versions.
	RunningOld int               `json:"o,omitempty"`
	Counts     []RolloutOutcomes `json:"c,omitempty"`
}

// RolloutOutcomes counts the outcomes of the attempts on a route: those on one target of the new version,
// or those on all targets of other versions.
type RolloutOutcomes struct {
	Route  string `json:"n"`
	Target string `json:"t,omitempty"` // ID of a target of the new version; "" = all of other versions
	// Failed and Served count the attempts with a failed or a good response. Crashes counts crashes of the
	// target; the attempts that broke off with them are not in Failed.
	Failed  int `json:"f,omitempty"`
	Served  int `json:"g,omitempty"`
	Crashes int `json:"x,omitempty"`
	// Pace counts the responses by their time over the expected time, in the buckets of package rollout.
	Pace []int `json:"h,omitempty"`
}
