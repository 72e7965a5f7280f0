package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const rolloutsSection = `"rollouts": {"exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000},`

// routesSettings returns settings of an entry instance whose field routes has the section of text.
func routesSettings(section string) []byte {
	return []byte(`{
  "profile": "routes", "instance": "e1", "dataCentre": "a", "listen": "127.0.0.1:8000", "mesh": "127.0.0.1:7400", "admin": "127.0.0.1:8003",
  "routes": {
    "ready": "127.0.0.1:8001", "seeds": ["127.0.0.2:8002"], "dataCentres": ["a"], "directory": {"address": "127.0.0.1:9000"}, "bounds": {},
    ` + section + `
    "memoryMB": 256, "maxFiles": 4096, "lossesTolerated": 1
  },
  "limits": {}
}`)
}

// Guards against bounds on rollouts that are dropped or altered, and against an instance that serves orders for
// rollouts although its settings have no bounds.
func TestParseRollouts(t *testing.T) {
	is := is.New(t)
	s, err := Parse("f.json", routesSettings(rolloutsSection))
	is.NoErr(err)
	is.Equal(*s.Routes.Rollouts, Rollouts{ExposureShare: 0.1, ExposureSlack: 50, RollbackMs: 5000})
	s, err = Parse("f.json", routesSettings(strings.NewReplacer("0.1", "1", "50,", "0,").Replace(rolloutsSection)))
	is.NoErr(err)
	is.Equal(*s.Routes.Rollouts, Rollouts{ExposureShare: 1, ExposureSlack: 0, RollbackMs: 5000})
	s, err = Parse("f.json", routesSettings(""))
	is.NoErr(err)
	is.True(s.Routes.Rollouts == nil)
}

// Guards against bounds that allow everything, that nothing could keep to, or that are not read because a name is
// misspelt, and against an error without line or field.
func TestParseRolloutsProblems(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`0.1`, `null`, "routes.rollouts.exposureShare: must be above 0 and at most 1"},
		{`0.1`, `0`, "f.json:5: routes.rollouts.exposureShare: must be above 0 and at most 1"},
		{`0.1`, `-0.1`, "f.json:5: routes.rollouts.exposureShare: must be above 0 and at most 1"},
		{`0.1`, `1.01`, "f.json:5: routes.rollouts.exposureShare: must be above 0 and at most 1"},
		{`"exposureShare": 0.1, `, ``, "routes.rollouts.exposureShare: must be above 0 and at most 1"},
		{`50`, `-1`, "f.json:5: routes.rollouts.exposureSlack: must not be negative"},
		{`5000`, `0`, "f.json:5: routes.rollouts.rollbackMs: must be above 0"},
		{`5000`, `-5`, "f.json:5: routes.rollouts.rollbackMs: must be above 0"},
		{`, "rollbackMs": 5000`, ``, "routes.rollouts.rollbackMs: must be above 0"},
		{`"exposureSlack"`, `"exposureslack"`, "f.json:5: routes.rollouts.exposureslack: unknown field"},
		{`"exposureSlack": 50`, `"exposureShare": 0.2`, "f.json:5: routes.rollouts.exposureShare: given twice"},
		{`50`, `"50"`, `f.json:5: routes.rollouts.exposureSlack: want float64, got "50"`},
		{rolloutsSection, `"rollouts": 5,`, "f.json:5: routes.rollouts: want an object"},
		{rolloutsSection, `"rollouts": null,`, "f.json:5: routes.rollouts: want an object"},
		{rolloutsSection, `"rollouts": {},`, "routes.rollouts.exposureShare: must be above 0 and at most 1"},
	} {
		t.Run(c.new, func(t *testing.T) {
			is := is.New(t)
			section := strings.Replace(rolloutsSection, c.old, c.new, 1)
			is.True(section != rolloutsSection)
			_, err := Parse("f.json", routesSettings(section))
			is.True(err != nil) // must be refused
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// deployValues are values as the platform fills them into the templates in deploy.
var deployValues = strings.NewReplacer(
	`{{node_name|json}}`, `"n1"`, `{{zone|json}}`, `"a"`, `{{data_dir|json}}`, `"/data"`, `{{ip}}`, `10.0.0.1`, `{{internal_ports.0}}`, `7560`,
	`{{listen.front|json}}`, `"10.0.0.1:8000"`, `{{listen.ready|json}}`, `"10.0.0.1:8001"`, `{{listen.control|json}}`, `"10.0.0.1:8002"`,
	`{{seeds|json}}`, `["10.0.0.2:8002"]`, `{{bootstrap|json}}`, `true`, `{{#zones}}"{{@}}"{{,}}{{/zones}}`, `"a","b"`,
	`{{cloud.address|json}}`, `"10.0.0.9:9000"`, `{{limits.memory_mb|json}}`, `256`, `{{limits.max_fds|json}}`, `4096`,
	`{{bounds.exposure_share|json}}`, `0.1`, `{{bounds.exposure_slack|json}}`, `50`, `{{bounds.rollback_ms|json}}`, `5000`,
	`{{#bounds.exposure_share}}`, ``, `{{/bounds.exposure_share}}`, ``,
)

// bounds fills in the bounds on rollouts where the platform names none and knows no sections of this kind.
var bounds = strings.NewReplacer(`{{bounds.exposure_share|json}}`, `null`, `{{bounds.exposure_slack|json}}`, `null`, `{{bounds.rollback_ms|json}}`, `null`)

// Guards against templates whose result cannot be parsed, on a platform that bounds rollouts or on one that does
// not.
func TestDeployTemplates(t *testing.T) {
	for _, name := range []string{"entry", "control"} {
		raw, err := os.ReadFile("../../deploy/" + name + ".json")
		is.New(t).NoErr(err)
		begin, rest, ok := strings.Cut(string(raw), "{{#bounds.exposure_share}}")
		section, end, ok2 := strings.Cut(rest, "{{/bounds.exposure_share}}")
		is.New(t).True(ok && ok2)
		for want, template := range map[*Rollouts]string{
			nil: begin + end,
			{ExposureShare: 0.1, ExposureSlack: 50, RollbackMs: 5000}: begin + section + end,
		} {
			is := is.New(t)
			s, err := Parse(name+".json", []byte(fillNumbers(deployValues.Replace(template))))
			is.NoErr(err)
			is.Equal(s.Routes.Rollouts, want)
			is.Equal(s.Routes.MaxFiles, 4096) // stands behind the section
		}
		// A program that fills in values only gives null for those that it does not know.
		is := is.New(t)
		s, err := Parse(name+".json", []byte(fillNumbers(deployValues.Replace(bounds.Replace(string(raw))))))
		is.NoErr(err)
		is.True(s.Routes.Rollouts == nil)
	}
}

// fillNumbers replaces the remaining values of a template by a number.
func fillNumbers(text string) string {
	for {
		begin, rest, ok := strings.Cut(text, "{{")
		if !ok {
			return text
		}
		_, end, _ := strings.Cut(rest, "}}")
		text = begin + "2" + end
	}
}
