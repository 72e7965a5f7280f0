package standin

import (
	"encoding/json"
	"net/netip"
	"os"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Kind is the kind of a stand-in.
type Kind string

// Kinds of stand-ins.
const (
	KindEngine   Kind = "engine"   // model engine
	KindService  Kind = "service"  // plain service
	KindPlatform Kind = "platform" // the platform's instance list
	KindWeights  Kind = "weights"  // weight store
)

// Spec configures one stand-in. A zero value selects the default of the field.
type Spec struct {
	Name   string `json:"name"`
	Kind   Kind   `json:"kind"`
	Listen string `json:"listen"` // IP:port; port 0 picks a free one

	// WarmCapacity and ColdCapacity are the numbers of concurrent requests that
	// a warm and a cold target accepts; 0 = 8 and 2.
	WarmCapacity int `json:"warm_capacity,omitempty"`
	ColdCapacity int `json:"cold_capacity,omitempty"`
	// WarmAfter is the number of completed requests after which a cold target
	// becomes warm; 0 = 4.
	WarmAfter int `json:"warm_after,omitempty"`
	// WarmMs is the duration of a "warm" order in ms; 0 = 500.
	WarmMs int `json:"warm_ms,omitempty"`
	// RestartMs is the time in ms for which a restarted target closes every
	// data connection; 0 = 200.
	RestartMs int `json:"restart_ms,omitempty"`
	// StartWarm starts the target warm, for baselines without a ramp.
	StartWarm bool `json:"start_warm,omitempty"`

	// PaceUs is the time per token of a single sequence in µs; 0 = 5000.
	PaceUs int `json:"pace_us,omitempty"`
	// PerSequenceUs is added to the time per token, in µs, for each other
	// sequence of the batch; 0 = 100.
	PerSequenceUs int `json:"per_sequence_us,omitempty"`
	// ServiceMs is the service time in ms of a plain request that does not
	// set its own; 0 = 5.
	ServiceMs int `json:"service_ms,omitempty"`

	// ReportLagMs is the age in ms of load reports and of the platform's
	// list; 0 = 500.
	ReportLagMs int `json:"report_lag_ms,omitempty"`
	// CacheLagMs is the delay in ms of prompt cache events; 0 = 1000.
	CacheLagMs int `json:"cache_lag_ms,omitempty"`
	// CacheGap drops every n-th prompt cache event; 0 = 7, and less than 2
	// means 2.
	CacheGap int `json:"cache_gap,omitempty"`
	// ChecksFencingToken makes an engine refuse orders with a stale fencing token.
	ChecksFencingToken bool `json:"checks_fence,omitempty"`
	// NoResume makes an engine refuse resumed streams.
	NoResume bool `json:"no_resume,omitempty"`
	// HideState omits the X-Target-State and X-Target-Boot headers and GET /load.
	HideState bool `json:"hide_state,omitempty"`
	// WeightStore is the base URL from which a "load" order downloads the
	// weights; "" = no download.
	WeightStore string `json:"weight_store,omitempty"`

	// WeightsPerSecond and WeightsBurst are the rate and the size of the weight
	// store's token bucket, in downloads; 0 = 2 and 2.
	WeightsPerSecond float64 `json:"weights_per_second,omitempty"`
	WeightsBurst     int     `json:"weights_burst,omitempty"`
	// WeightBytes is the size of one download in bytes; 0 = 4096.
	WeightBytes int `json:"weight_bytes,omitempty"`

	// Instances is the initial list of a platform stand-in.
	Instances []Instance `json:"instances,omitempty"`
}

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port
	State   string `json:"state"`   // live or leaving
}

// File is the content of the JSON file that lists the stand-ins of one process.
type File struct {
	Targets []Spec `json:"targets"`
}

// LoadFile reads the stand-ins of a File, in which comments and trailing commas
// are allowed. It returns an error if the file cannot be read or parsed, and
// does not validate the stand-ins.
func LoadFile(path string) ([]Spec, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read stand-ins")
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return nil, errors.Wrapf(err, "read stand-ins %s", path)
	}
	var f File
	if err := json.Unmarshal(std, &f); err != nil {
		return nil, errors.Wrapf(err, "read stand-ins %s", path)
	}
	return f.Targets, nil
}

// validate checks the name, the kind and the listen address.
func (s Spec) validate() error {
	if s.Name == "" {
		return errors.New("stand-in without a name")
	}
	switch s.Kind {
	case KindEngine, KindService, KindPlatform, KindWeights:
	default:
		return errors.Errorf("stand-in %s: unknown kind %q", s.Name, s.Kind)
	}
	_, err := netip.ParseAddrPort(s.Listen)
	return errors.Wrapf(err, "stand-in %s: listen", s.Name)
}

// withDefaults returns a copy with the defaults in place of zero values.
func (s Spec) withDefaults() Spec {
	for _, d := range []struct {
		field    *int
		fallback int
	}{
		{&s.WarmCapacity, 8}, {&s.ColdCapacity, 2}, {&s.WarmAfter, 4}, {&s.WarmMs, 500}, {&s.RestartMs, 200},
		{&s.PaceUs, 5000}, {&s.PerSequenceUs, 100}, {&s.ServiceMs, 5},
		{&s.ReportLagMs, 500}, {&s.CacheLagMs, 1000}, {&s.CacheGap, 7},
		{&s.WeightsBurst, 2}, {&s.WeightBytes, 4096},
	} {
		if *d.field == 0 {
			*d.field = d.fallback
		}
	}
	if s.WeightsPerSecond == 0 {
		s.WeightsPerSecond = 2
	}
	return s
}
