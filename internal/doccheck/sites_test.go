package doccheck

import (
	"regexp"
	"strings"
	"testing"
)

// siteName matches places and services of the users' deployments.
var siteName = regexp.MustCompile(`(?i)\b(amman|quito|cumbaya|tumbaco|calderon|pomasqui|sierra-norte|matcher-llm|counter-api|tiza-llm|reservas|spec-compare|fit-answer|part-label|stock-reserve|stock-lookup|layout-draft|counter-chat|wear-tag|hire-confirm|stock-check)\b`)

// Guards against code that depends on one deployment: differences between deployments
// belong in settings and configuration. Comments are not checked.
func TestNoSiteInCode(t *testing.T) {
	for _, dir := range []string{"internal", "plugin", "platform", "cmd", "deploy"} {
		for path, text := range readSources(t, dir, isNotTest) {
			for _, line := range strings.Split(text, "\n") {
				if code, _, _ := strings.Cut(line, "//"); siteName.MatchString(code) {
					t.Errorf("%s names a deployment: %s", path, strings.TrimSpace(line))
				}
			}
		}
	}
}
