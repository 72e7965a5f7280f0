package fleetconfig

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"sort"
	"strings"
	"time"
)

// Bounds on a document.
const (
	MaxNameBytes      = 64
	MaxCapacity       = 1 << 20 // concurrent requests of one target
	MaxWeight         = 1e6
	MaxLoadsPerMinute = 1 << 20
	// MaxPoolMs bounds every time limit of a pool, in milliseconds.
	MaxPoolMs = 24 * 60 * 60 * 1000
)

// Problem is one error in a document.
type Problem struct {
	Field string // e.g. targets[3].pool
	Text  string
}

// Problems are all errors of a document.
type Problems []Problem

// Error implements error with one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Field + ": " + p.Text
	}
	return strings.Join(lines, "\n")
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

type checker struct{ problems Problems }

func (c *checker) add(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{field, fmt.Sprintf(format, args...)})
}

// Validate reports every error of the document as Problems, or nil.
func Validate(cfg *Config) error {
	if cfg == nil {
		return Problems{{"(document)", "missing"}}
	}
	c := &checker{}
	c.name("fleet", cfg.Fleet)
	dataCentres := c.dataCentres(cfg.DataCentres)
	c.workspaces(cfg.Workspaces)
	pools := c.pools(cfg.Pools)
	c.targets(cfg.Targets, pools, dataCentres)
	c.moves(cfg.Moves, dataCentres)
	c.within("weight_loads_per_minute", cfg.WeightLoadsPerMinute, 0, MaxLoadsPerMinute)
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

func (c *checker) name(field, name string) {
	if len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		c.add(field, "want a name of up to %d letters, digits, dots, dashes or underscores, got %q", MaxNameBytes, name)
	}
}

// unique checks the name and that it was not seen before.
func (c *checker) unique(field, name string, seen map[string]bool) {
	c.name(field, name)
	if seen[name] {
		c.add(field, "%q is given twice", name)
	}
	seen[name] = true
}

func (c *checker) known(field, name string, known map[string]bool) {
	if !known[name] {
		c.add(field, "%q is not in the document", name)
	}
}

func (c *checker) within(field string, v, low, high int) {
	if v < low || v > high {
		c.add(field, "want %d to %d, got %d", low, high, v)
	}
}

func (c *checker) dataCentres(list []DataCentre) map[string]bool {
	seen := map[string]bool{}
	for i, d := range list {
		c.unique(fmt.Sprintf("data_centres[%d].name", i), d.Name, seen)
	}
	return seen
}

func (c *checker) workspaces(list []Workspace) {
	seen, hashes := map[string]bool{}, map[string]bool{}
	for i, w := range list {
		field := fmt.Sprintf("workspaces[%d]", i)
		c.unique(field+".name", w.Name, seen)
		if !(w.Weight > 0 && w.Weight <= MaxWeight) || math.IsNaN(w.Weight) {
			c.add(field+".weight", "want a number above 0 and up to %g, got %g", float64(MaxWeight), w.Weight)
		}
		c.within(field+".queue_limit", w.QueueLimit, 0, MaxCapacity)
		if len(w.KeyHashes) == 0 {
			c.add(field+".key_hashes", "want at least one")
		}
		for j, h := range w.KeyHashes {
			c.keyHash(fmt.Sprintf("%s.key_hashes[%d]", field, j), h, hashes)
		}
	}
}

func (c *checker) keyHash(field, hash string, seen map[string]bool) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != 32 || hash != strings.ToLower(hash) {
		c.add(field, "want a SHA-256 hash as 64 lower-case hexadecimal digits")
		return
	}
	if seen[hash] {
		c.add(field, "the same key is given twice, so it would not select one workspace")
	}
	seen[hash] = true
}

func (c *checker) pools(list []Pool) map[string]bool {
	seen, models := map[string]bool{}, map[string]bool{}
	for i, p := range list {
		field := fmt.Sprintf("pools[%d]", i)
		c.unique(field+".name", p.Name, seen)
		c.poolKind(field, p, models)
		c.within(field+".queue_limit", p.QueueLimit, 0, MaxCapacity)
		c.within(field+".request_limit_ms", p.RequestLimitMs, 0, MaxPoolMs)
		c.within(field+".silence_limit_ms", p.SilenceLimitMs, 0, MaxPoolMs)
		c.within(field+".evidence_life_ms", p.EvidenceLifeMs, 0, MaxPoolMs)
		c.within(field+".report_lag_ms", p.ReportLagMs, 0, MaxPoolMs)
	}
	return seen
}

func (c *checker) poolKind(field string, p Pool, models map[string]bool) {
	switch p.Kind {
	case KindService:
		if p.Model != "" || p.Version != "" {
			c.add(field+".model", "a service has no model")
		}
	case KindEngine:
		if p.Model == "" {
			c.add(field+".model", "an engine needs a model")
		}
		if models[p.Model] {
			c.add(field+".model", "%q is served by two pools", p.Model)
		}
		models[p.Model] = true
	default:
		c.add(field+".kind", "want %q or %q, got %q", KindEngine, KindService, p.Kind)
	}
}

func (c *checker) targets(list []Target, pools, dataCentres map[string]bool) {
	seen, addresses := map[string]bool{}, map[string]bool{}
	for i, t := range list {
		field := fmt.Sprintf("targets[%d]", i)
		c.unique(field+".name", t.Name, seen)
		c.known(field+".pool", t.Pool, pools)
		c.known(field+".data_centre", t.DataCentre, dataCentres)
		if _, err := netip.ParseAddrPort(t.Address); err != nil {
			c.add(field+".address", "want IP:port, got %q", t.Address)
		}
		if addresses[t.Address] {
			c.add(field+".address", "%q is given twice, so its limit would not hold", t.Address)
		}
		addresses[t.Address] = true
		c.within(field+".warm_capacity", t.WarmCapacity, 1, MaxCapacity)
		c.within(field+".cold_capacity", t.ColdCapacity, 1, max(1, t.WarmCapacity))
	}
}

func (c *checker) moves(list []Move, dataCentres map[string]bool) {
	seen := map[string]bool{}
	for i, m := range list {
		field := fmt.Sprintf("moves[%d]", i)
		c.unique(field+".name", m.Name, seen)
		c.known(field+".data_centre", m.DataCentre, dataCentres)
		out, err := time.Parse(time.RFC3339, m.OutAt)
		if err != nil {
			c.add(field+".out_at", "want a time as in RFC 3339, got %q", m.OutAt)
		}
		if m.BackAt == "" {
			continue
		}
		back, berr := time.Parse(time.RFC3339, m.BackAt)
		if berr != nil {
			c.add(field+".back_at", "want a time as in RFC 3339, got %q", m.BackAt)
		}
		if err == nil && berr == nil && !back.After(out) {
			c.add(field+".back_at", "must be after out_at")
		}
	}
	c.overlaps(list)
}

// overlaps refuses two moves of one data centre whose times meet, because the
// end of the first would bring the data centre back during the second.
func (c *checker) overlaps(list []Move) {
	type span struct {
		name    string
		out     time.Time
		back    time.Time
		forever bool
	}
	byPlace := map[string][]span{}
	for _, m := range list {
		out, err := time.Parse(time.RFC3339, m.OutAt)
		if err != nil {
			continue
		}
		back, err := time.Parse(time.RFC3339, m.BackAt)
		byPlace[m.DataCentre] = append(byPlace[m.DataCentre], span{m.Name, out, back, err != nil})
	}
	for _, spans := range byPlace {
		sort.Slice(spans, func(i, j int) bool { return spans[i].out.Before(spans[j].out) })
		for i := 1; i < len(spans); i++ {
			if prev := spans[i-1]; prev.forever || !prev.back.Before(spans[i].out) {
				c.add("moves", "%q and %q overlap", prev.name, spans[i].name)
			}
		}
	}
}
