package doccheck

import (
	"regexp"
	"strings"
	"testing"
)

// siteName matches names of the users' deployments: their places and services.
var siteName = regexp.MustCompile(`(?i)\b(amman|quito|cumbaya|tumbaco|calderon|pomasqui|sierra-norte|matcher-llm|counter-api|tiza-llm|reservas|spec-compare|fit-answer|part-label|stock-reserve|stock-lookup|layout-draft|counter-chat|wear-tag|hire-confirm|stock-check)\b`)

// Guards against a decision that knows one deployment: what varies between them comes
// from settings and configuration.
func TestNoSiteInCode(t *testing.T) {
	for _, dir := range []string{"internal", "plugin", "platform", "cmd", "deploy"} {
		for path, text := range sources(t, dir, notTest) {
			for _, line := range strings.Split(text, "\n") {
				if code, _, _ := strings.Cut(line, "//"); siteName.MatchString(code) {
					t.Errorf("%s names a deployment: %s", path, strings.TrimSpace(line))
				}
			}
		}
	}
}
