package doccheck

import (
	"regexp"
	"strings"
	"testing"
)

// siteName matches names of the users' deployments: their places and services.
var siteName = regexp.MustCompile(`(?i)\b(amman|quito|cumbaya|tumbaco|calderon|pomasqui|sierra-norte|matcher-llm|counter-api|tiza-llm|reservas|spec-compare|fit-answer|part-label|stock-reserve|stock-lookup|layout-draft|counter-chat|wear-tag|hire-confirm|stock-check)\b`)

// wireName matches header names of the platform.
var wireName = regexp.MustCompile(`"(X-Attempt-Id|X-Response-Stamp|X-Not-Executed|X-Expect-Instance|X-Expect-Version|X-Prompt-Prefix|X-Token-Usage|X-Length-Hint|X-Pin-Ms|X-Kv-Backup|X-Hold|X-Tenant|X-Cold-Ms|X-Weight-Versions|Kv-From|Kv-Fetch|X-Deadline-Ms)"`)

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

// Guards against names of the platform's wire outside platform/, where they are
// decoded once. The program's own interface has X-Deadline-Ms, too.
func TestWireNamesStayInPlatform(t *testing.T) {
	for _, dir := range []string{"internal", "plugin", "cmd"} {
		for path, text := range sources(t, dir, notTest) {
			for _, name := range wireName.FindAllString(text, -1) {
				if name != `"X-Deadline-Ms"` {
					t.Errorf("%s uses %s of the platform", path, name)
				}
			}
		}
	}
}
