package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Fault is one error in a settings file.
type Fault struct {
	File  string
	Line  int // 1-based; 0 = the whole file
	Field string
	Text  string
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Text)
}

// Faults are all errors of one file.
type Faults []Fault

// Error implements error with one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. The error is of type Faults unless the
// file cannot be read.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, raw)
}

// Parse checks settings held in memory.
func Parse(file string, raw []byte) (*Settings, error) {
	std, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return nil, Faults{{File: file, Line: lineOfSyntaxError(err), Field: "(syntax)", Text: err.Error()}}
	}
	p := &parser{file: file, raw: std}
	s := &Settings{}
	p.object(json.RawMessage(std), 0, "", reflect.ValueOf(s).Elem())
	if len(p.faults) == 0 {
		p.check(s)
	}
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return s, nil
}

func lineOfSyntaxError(err error) int {
	line := 0
	if i := strings.Index(err.Error(), "line "); i >= 0 {
		_, _ = fmt.Sscanf(err.Error()[i:], "line %d", &line)
	}
	return line
}

// parser decodes field by field, because encoding/json stops at the first
// error and reports no line.
type parser struct {
	file   string
	raw    []byte
	faults Faults
}

func (p *parser) fault(offset int, field, format string, args ...any) {
	line := 1 + bytes.Count(p.raw[:min(offset, len(p.raw))], []byte("\n"))
	p.faults = append(p.faults, Fault{p.file, line, field, fmt.Sprintf(format, args...)})
}

// object decodes the JSON object that starts at base into the struct v.
func (p *parser) object(raw json.RawMessage, base int, prefix string, v reflect.Value) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		p.fault(base, orRoot(prefix), "want an object")
		return
	}
	seen := map[string]bool{}
	for dec.More() {
		t, err := dec.Token()
		key, ok := t.(string)
		if err != nil || !ok {
			p.fault(base+int(dec.InputOffset()), orRoot(prefix), "want a field name")
			return
		}
		at := base + int(dec.InputOffset())
		var val json.RawMessage
		if err := dec.Decode(&val); err != nil {
			p.fault(at, prefix+key, "%v", err)
			return
		}
		start := base + int(dec.InputOffset()) - len(val)
		if seen[key] {
			p.fault(at, prefix+key, "given twice")
		}
		seen[key] = true
		f, ok := fieldByTag(v, key)
		if !ok {
			p.fault(at, prefix+key, "unknown field")
			continue
		}
		p.value(val, start, prefix+key, f)
	}
}

func (p *parser) value(raw json.RawMessage, base int, name string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		p.object(raw, base, name+".", v)
	case reflect.Slice:
		p.array(raw, base, name, v)
	default:
		if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
			p.fault(base, name, "want %s, got %s", v.Kind(), raw)
		}
	}
}

func (p *parser) array(raw json.RawMessage, base int, name string, v reflect.Value) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if t, err := dec.Token(); err != nil || t != json.Delim('[') {
		p.fault(base, name, "want an array")
		return
	}
	for i := 0; dec.More(); i++ {
		var val json.RawMessage
		if err := dec.Decode(&val); err != nil {
			p.fault(base, name, "%v", err)
			return
		}
		elem := reflect.New(v.Type().Elem()).Elem()
		p.value(val, base+int(dec.InputOffset())-len(val), fmt.Sprintf("%s[%d]", name, i), elem)
		v.Set(reflect.Append(v, elem))
	}
}

func fieldByTag(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if tag == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func orRoot(prefix string) string {
	if prefix == "" {
		return "(file)"
	}
	return strings.TrimSuffix(prefix, ".")
}

// check tests the meaning of well-formed settings.
func (p *parser) check(s *Settings) {
	p.require("instance", s.Instance)
	p.require("dataCentre", s.DataCentre)
	p.checkLimits(s.Limits)
	switch s.Profile {
	case "", ProfilePools:
		p.checkPools(s)
	case ProfileRoutes:
		p.checkRoutes(s)
	default:
		p.fault(p.find("profile"), "profile", "want %q or %q, got %q", ProfilePools, ProfileRoutes, s.Profile)
	}
}

// checkPools tests the settings of the profile "pools".
func (p *parser) checkPools(s *Settings) {
	p.address("listen", s.Listen)
	p.address("admin", s.Admin)
	p.address("mesh", s.Mesh)
	names := map[string]bool{}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		p.require(field+".instance", peer.Instance)
		p.require(field+".dataCentre", peer.DataCentre)
		p.address(field+".mesh", peer.Mesh)
		if names[peer.Instance] {
			p.fault(p.find("peers"), field+".instance", "%q given twice", peer.Instance)
		}
		names[peer.Instance] = true
	}
	p.checkSelf(s)
}

func (p *parser) checkSelf(s *Settings) {
	for _, peer := range s.Peers {
		if peer.Instance != s.Instance {
			continue
		}
		if peer.Disk != (s.DataDir != "") {
			p.fault(p.find("dataDir"), "dataDir", "must be set exactly if peers marks this instance with disk")
		}
		if peer.DataCentre != s.DataCentre {
			p.fault(p.find("dataCentre"), "dataCentre", "differs from this instance's entry in peers")
		}
		if len(s.Replicas()) == 0 {
			p.fault(p.find("peers"), "peers", "no instance has a disk")
		}
		return
	}
	p.fault(p.find("peers"), "peers", "must list this instance %q", s.Instance)
}

func (p *parser) checkLimits(l Limits) {
	v := reflect.ValueOf(l)
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if v.Field(i).Int() < 0 {
			p.fault(p.find(name), "limits."+name, "must not be negative")
		}
	}
}

func (p *parser) require(field, value string) {
	if value == "" {
		p.fault(p.find(field), field, "must be set")
	}
}

func (p *parser) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.fault(p.find(field), field, "want IP:port, got %q", value)
	}
}

// find returns the offset of a top-level field's name, or 0.
func (p *parser) find(field string) int {
	name, _, _ := strings.Cut(field, "[")
	return max(0, bytes.Index(p.raw, []byte(`"`+name+`"`)))
}
