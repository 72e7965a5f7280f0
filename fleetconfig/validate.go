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

// Bounds on the values in a document.
const (
	MaxNameBytes      = 64
	MaxCapacity       = 1 << 20 // concurrent requests of one target, and queued requests
	MaxWeight         = 1e6     // of a workspace
	MaxLoadsPerMinute = 1 << 20
	// MaxPoolMs bounds every time limit of a pool, in milliseconds.
	MaxPoolMs = 24 * 60 * 60 * 1000
)

// Problem is one validation error in a document.
type Problem struct {
	Field string // e.g. targets[3].pool
	Text  string // what is wrong with the value
}

// Problems is the list of all validation errors of a document.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Field + ": " + p.Text
	}
	return strings.Join(lines, "\n")
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

type validator struct{ problems Problems }

func (c *validator) addProblem(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{field, fmt.Sprintf(format, args...)})
}

// Validate checks the whole document. It returns all errors as Problems, or nil.
func Validate(cfg *Config) error {
	if cfg == nil {
		return Problems{{"(document)", "missing"}}
	}
	c := &validator{}
	c.checkName("fleet", cfg.Fleet)
	dataCentres := c.checkDataCentres(cfg.DataCentres)
	c.checkWorkspaces(cfg.Workspaces)
	pools := c.checkPools(cfg.Pools)
	c.checkTargets(cfg.Targets, pools, dataCentres)
	c.checkMoves(cfg.Moves, dataCentres)
	c.checkRange("weight_loads_per_minute", cfg.WeightLoadsPerMinute, 0, MaxLoadsPerMinute)
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

func (c *validator) checkName(field, name string) {
	if len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		c.addProblem(field, "want a name of up to %d letters, digits, dots, dashes or underscores, got %q", MaxNameBytes, name)
	}
}

// checkUniqueName checks that the name is valid and not in seen, and adds it there.
func (c *validator) checkUniqueName(field, name string, seen map[string]bool) {
	c.checkName(field, name)
	if seen[name] {
		c.addProblem(field, "%q is given twice", name)
	}
	seen[name] = true
}

// checkReference checks that a name refers to an item of the document.
func (c *validator) checkReference(field, name string, known map[string]bool) {
	if !known[name] {
		c.addProblem(field, "%q is not in the document", name)
	}
}

func (c *validator) checkRange(field string, v, low, high int) {
	if v < low || v > high {
		c.addProblem(field, "want %d to %d, got %d", low, high, v)
	}
}

func (c *validator) checkDataCentres(list []DataCentre) map[string]bool {
	seen := map[string]bool{}
	for i, d := range list {
		c.checkUniqueName(fmt.Sprintf("data_centres[%d].name", i), d.Name, seen)
	}
	return seen
}

func (c *validator) checkWorkspaces(list []Workspace) {
	seen, hashes := map[string]bool{}, map[string]bool{}
	for i, w := range list {
		field := fmt.Sprintf("workspaces[%d]", i)
		c.checkUniqueName(field+".name", w.Name, seen)
		if !(w.Weight > 0 && w.Weight <= MaxWeight) || math.IsNaN(w.Weight) {
			c.addProblem(field+".weight", "want a number above 0 and up to %g, got %g", float64(MaxWeight), w.Weight)
		}
		c.checkRange(field+".queue_limit", w.QueueLimit, 0, MaxCapacity)
		if len(w.KeyHashes) == 0 {
			c.addProblem(field+".key_hashes", "want at least one")
		}
		for j, h := range w.KeyHashes {
			c.checkKeyHash(fmt.Sprintf("%s.key_hashes[%d]", field, j), h, hashes)
		}
	}
}

func (c *validator) checkKeyHash(field, hash string, seen map[string]bool) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != 32 || hash != strings.ToLower(hash) {
		c.addProblem(field, "want a SHA-256 hash as 64 lower-case hexadecimal digits")
		return
	}
	if seen[hash] {
		c.addProblem(field, "the same key is given twice, so it would not select one workspace")
	}
	seen[hash] = true
}

func (c *validator) checkPools(list []Pool) map[string]bool {
	seen, models := map[string]bool{}, map[string]bool{}
	for i, p := range list {
		field := fmt.Sprintf("pools[%d]", i)
		c.checkUniqueName(field+".name", p.Name, seen)
		c.checkPoolKind(field, p, models)
		c.checkRange(field+".queue_limit", p.QueueLimit, 0, MaxCapacity)
		c.checkRange(field+".request_limit_ms", p.RequestLimitMs, 0, MaxPoolMs)
		c.checkRange(field+".silence_limit_ms", p.SilenceLimitMs, 0, MaxPoolMs)
		c.checkRange(field+".evidence_life_ms", p.EvidenceLifeMs, 0, MaxPoolMs)
		c.checkRange(field+".report_lag_ms", p.ReportLagMs, 0, MaxPoolMs)
	}
	return seen
}

func (c *validator) checkPoolKind(field string, p Pool, models map[string]bool) {
	switch p.Kind {
	case KindService:
		if p.Model != "" || p.Version != "" {
			c.addProblem(field+".model", "a service has no model")
		}
	case KindEngine:
		if p.Model == "" {
			c.addProblem(field+".model", "an engine needs a model")
		}
		if models[p.Model] {
			c.addProblem(field+".model", "%q is served by two pools", p.Model)
		}
		models[p.Model] = true
	default:
		c.addProblem(field+".kind", "want %q or %q, got %q", KindEngine, KindService, p.Kind)
	}
}

func (c *validator) checkTargets(list []Target, pools, dataCentres map[string]bool) {
	seen, addresses := map[string]bool{}, map[string]bool{}
	for i, t := range list {
		field := fmt.Sprintf("targets[%d]", i)
		c.checkUniqueName(field+".name", t.Name, seen)
		c.checkReference(field+".pool", t.Pool, pools)
		c.checkReference(field+".data_centre", t.DataCentre, dataCentres)
		if _, err := netip.ParseAddrPort(t.Address); err != nil {
			c.addProblem(field+".address", "want IP:port, got %q", t.Address)
		}
		if addresses[t.Address] {
			c.addProblem(field+".address", "%q is given twice, so its limit would not hold", t.Address)
		}
		addresses[t.Address] = true
		c.checkRange(field+".warm_capacity", t.WarmCapacity, 1, MaxCapacity)
		c.checkRange(field+".cold_capacity", t.ColdCapacity, 1, max(1, t.WarmCapacity))
	}
}

func (c *validator) checkMoves(list []Move, dataCentres map[string]bool) {
	seen := map[string]bool{}
	for i, m := range list {
		field := fmt.Sprintf("moves[%d]", i)
		c.checkUniqueName(field+".name", m.Name, seen)
		c.checkReference(field+".data_centre", m.DataCentre, dataCentres)
		out, err := time.Parse(time.RFC3339, m.OutAt)
		if err != nil {
			c.addProblem(field+".out_at", "want a time as in RFC 3339, got %q", m.OutAt)
		}
		if m.BackAt == "" {
			continue
		}
		back, backErr := time.Parse(time.RFC3339, m.BackAt)
		if backErr != nil {
			c.addProblem(field+".back_at", "want a time as in RFC 3339, got %q", m.BackAt)
		}
		if err == nil && backErr == nil && !back.After(out) {
			c.addProblem(field+".back_at", "must be after out_at")
		}
	}
	c.checkOverlaps(list)
}

// checkOverlaps reports moves of one data centre that overlap in time: the end of
// the first would bring the data centre back during the second.
func (c *validator) checkOverlaps(list []Move) {
	type span struct {
		name      string
		out       time.Time
		back      time.Time
		openEnded bool
	}
	byDataCentre := map[string][]span{}
	for _, m := range list {
		out, err := time.Parse(time.RFC3339, m.OutAt)
		if err != nil {
			continue
		}
		back, err := time.Parse(time.RFC3339, m.BackAt)
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], span{m.Name, out, back, err != nil})
	}
	for _, spans := range byDataCentre {
		sort.Slice(spans, func(i, j int) bool { return spans[i].out.Before(spans[j].out) })
		for i := 1; i < len(spans); i++ {
			if prev := spans[i-1]; prev.openEnded || !prev.back.Before(spans[i].out) {
				c.addProblem("moves", "%q and %q overlap", prev.name, spans[i].name)
			}
		}
	}
}
