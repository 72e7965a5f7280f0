package fleetconfig

import "time"

// Defaults of a pool's settings.
const (
	DefaultQueueLimit   = 256
	DefaultRequestLimit = 10 * time.Minute
	DefaultSilenceLimit = 5 * time.Second
	DefaultEvidenceLife = 10 * time.Second
	DefaultReportLag    = 2 * time.Second
)

// DefaultLoadsPerMinute is the default of Config.WeightLoadsPerMinute.
const DefaultLoadsPerMinute = 30

// LoadInterval returns the minimum time between two load orders of one engine pool.
// Each pool has an equal part of the weight store's rate, so that the owners of the
// pools need not coordinate.
func (c *Config) LoadInterval() time.Duration {
	perMinute := c.WeightLoadsPerMinute
	if perMinute <= 0 {
		perMinute = DefaultLoadsPerMinute
	}
	engines := 0
	for _, p := range c.Pools {
		if p.Kind == KindEngine {
			engines++
		}
	}
	return time.Minute / time.Duration(perMinute) * time.Duration(max(1, engines))
}

// QueueLimitFor returns the bound on the queued requests of a workspace on one
// instance: the workspace's limit, else the pool's, else the default.
func (p Pool) QueueLimitFor(w Workspace) int {
	if w.QueueLimit > 0 {
		return w.QueueLimit
	}
	if p.QueueLimit > 0 {
		return p.QueueLimit
	}
	return DefaultQueueLimit
}

// RequestLimit returns the timeout of a whole request on a target.
func (p Pool) RequestLimit() time.Duration { return msOrDefault(p.RequestLimitMs, DefaultRequestLimit) }

// SilenceLimit returns the timeout of one read from a target.
func (p Pool) SilenceLimit() time.Duration { return msOrDefault(p.SilenceLimitMs, DefaultSilenceLimit) }

// EvidenceLife returns how long a target counts as warm after the last evidence of it.
func (p Pool) EvidenceLife() time.Duration { return msOrDefault(p.EvidenceLifeMs, DefaultEvidenceLife) }

// ReportLag returns the largest age of the content of a load report.
func (p Pool) ReportLag() time.Duration { return msOrDefault(p.ReportLagMs, DefaultReportLag) }

func msOrDefault(ms int, fallback time.Duration) time.Duration {
	if ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return fallback
}

// FindPool returns the pool with the name; false if there is none.
func (c *Config) FindPool(name string) (Pool, bool) {
	for _, p := range c.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// FindTarget returns the target with the name; false if there is none.
func (c *Config) FindTarget(name string) (Target, bool) {
	for _, t := range c.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// FindWorkspace returns the workspace with the name; false if there is none.
func (c *Config) FindWorkspace(name string) (Workspace, bool) {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}
