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

// Problem is one error in a settings file.
type Problem struct {
	File  string
	Line  int // 1-based; 0 = the whole file
	Field string
	Text  string // what is wrong with the value
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Text)
}

// Problems is the list of all errors in one file.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads, parses and validates a settings file. The error is of type Problems
// unless the file cannot be read.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, raw)
}

// Parse parses and validates settings. The name of the file is used only in errors,
// which are of type Problems.
func Parse(file string, raw []byte) (*Settings, error) {
	std, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return nil, Problems{{File: file, Line: lineOfSyntaxError(err), Field: "(syntax)", Text: err.Error()}}
	}
	p := &parser{file: file, raw: std}
	s := &Settings{}
	p.decodeObject(json.RawMessage(std), 0, "", reflect.ValueOf(s).Elem())
	if len(p.problems) == 0 {
		p.check(s)
	}
	if len(p.problems) > 0 {
		return nil, p.problems
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

// parser decodes the file field by field, because encoding/json stops at the first
// error and does not report its line.
type parser struct {
	file     string
	raw      []byte
	problems Problems
}

// addProblem records an error of a field at an offset of the file.
func (p *parser) addProblem(offset int, field, format string, args ...any) {
	line := 1 + bytes.Count(p.raw[:min(offset, len(p.raw))], []byte("\n"))
	p.problems = append(p.problems, Problem{p.file, line, field, fmt.Sprintf(format, args...)})
}

// decodeObject decodes raw, a JSON object at offset base of the file, into the struct v.
// prefix is the path of the object's fields, such as "limits.".
func (p *parser) decodeObject(raw json.RawMessage, base int, prefix string, v reflect.Value) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		p.addProblem(base, fieldOrFile(prefix), "want an object")
		return
	}
	seen := map[string]bool{}
	for dec.More() {
		t, err := dec.Token()
		key, ok := t.(string)
		if err != nil || !ok {
			p.addProblem(base+int(dec.InputOffset()), fieldOrFile(prefix), "want a field name")
			return
		}
		at := base + int(dec.InputOffset())
		var val json.RawMessage
		if err := dec.Decode(&val); err != nil {
			p.addProblem(at, prefix+key, "%v", err)
			return
		}
		start := base + int(dec.InputOffset()) - len(val)
		if seen[key] {
			p.addProblem(at, prefix+key, "given twice")
		}
		seen[key] = true
		f, ok := fieldByTag(v, key)
		if !ok {
			p.addProblem(at, prefix+key, "unknown field")
			continue
		}
		p.decodeValue(val, start, prefix+key, f)
	}
}

func (p *parser) decodeValue(raw json.RawMessage, base int, name string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		p.decodeValue(raw, base, name, v.Elem())
	case reflect.Struct:
		p.decodeObject(raw, base, name+".", v)
	case reflect.Slice:
		p.decodeArray(raw, base, name, v)
	default:
		if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
			p.addProblem(base, name, "want %s, got %s", v.Kind(), raw)
		}
	}
}

func (p *parser) decodeArray(raw json.RawMessage, base int, name string, v reflect.Value) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if t, err := dec.Token(); err != nil || t != json.Delim('[') {
		p.addProblem(base, name, "want an array")
		return
	}
	for i := 0; dec.More(); i++ {
		var val json.RawMessage
		if err := dec.Decode(&val); err != nil {
			p.addProblem(base, name, "%v", err)
			return
		}
		elem := reflect.New(v.Type().Elem()).Elem()
		p.decodeValue(val, base+int(dec.InputOffset())-len(val), fmt.Sprintf("%s[%d]", name, i), elem)
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

// fieldOrFile returns the path of an object in errors, or "(file)" for the whole file.
func fieldOrFile(prefix string) string {
	if prefix == "" {
		return "(file)"
	}
	return strings.TrimSuffix(prefix, ".")
}

// check validates the values of well-formed settings.
func (p *parser) check(s *Settings) {
	p.checkSet("instance", s.Instance)
	p.checkSet("dataCentre", s.DataCentre)
	p.checkLimits(s.Limits)
	switch s.Profile {
	case "", ProfilePools:
		p.checkPools(s)
	case ProfileRoutes:
		p.checkRoutes(s)
	default:
		p.addProblem(p.fieldOffset("profile"), "profile", "want %q or %q, got %q", ProfilePools, ProfileRoutes, s.Profile)
	}
}

// checkPools tests the settings of the profile "pools".
func (p *parser) checkPools(s *Settings) {
	p.checkAddress("listen", s.Listen)
	p.checkAddress("admin", s.Admin)
	p.checkAddress("mesh", s.Mesh)
	names := map[string]bool{}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		p.checkSet(field+".instance", peer.Instance)
		p.checkSet(field+".dataCentre", peer.DataCentre)
		p.checkAddress(field+".mesh", peer.Mesh)
		if names[peer.Instance] {
			p.addProblem(p.fieldOffset("peers"), field+".instance", "%q given twice", peer.Instance)
		}
		names[peer.Instance] = true
	}
	p.checkOwnEntry(s)
}

func (p *parser) checkOwnEntry(s *Settings) {
	for _, peer := range s.Peers {
		if peer.Instance != s.Instance {
			continue
		}
		if peer.HasDisk != (s.DataDir != "") {
			p.addProblem(p.fieldOffset("dataDir"), "dataDir", "must be set exactly if peers marks this instance with disk")
		}
		if peer.DataCentre != s.DataCentre {
			p.addProblem(p.fieldOffset("dataCentre"), "dataCentre", "differs from this instance's entry in peers")
		}
		if len(s.Replicas()) == 0 {
			p.addProblem(p.fieldOffset("peers"), "peers", "no instance has a disk")
		}
		return
	}
	p.addProblem(p.fieldOffset("peers"), "peers", "must list this instance %q", s.Instance)
}

func (p *parser) checkLimits(l Limits) {
	v := reflect.ValueOf(l)
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if v.Field(i).Int() < 0 {
			p.addProblem(p.fieldOffset(name), "limits."+name, "must not be negative")
		}
	}
}

func (p *parser) checkSet(field, value string) {
	if value == "" {
		p.addProblem(p.fieldOffset(field), field, "must be set")
	}
}

func (p *parser) checkAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.addProblem(p.fieldOffset(field), field, "want IP:port, got %q", value)
	}
}

// fieldOffset returns the offset of the first occurrence of a field's name in the file,
// or 0.
func (p *parser) fieldOffset(field string) int {
	name, _, _ := strings.Cut(field, "[")
	return max(0, bytes.Index(p.raw, []byte(`"`+name+`"`)))
}
