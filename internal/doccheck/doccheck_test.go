package doccheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const root = "../.."

// sources returns the text of the Go files below dir for which keep is true.
func sources(t *testing.T, dir string, keep func(path string) bool) map[string]string {
	t.Helper()
	out, err := Sources(filepath.Join(root, dir), keep)
	is.New(t).NoErr(err)
	return out
}

func read(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, path))
	is.New(t).NoErr(err)
	return string(raw)
}

func isTest(path string) bool  { return strings.HasSuffix(path, "_test.go") }
func notTest(path string) bool { return !isTest(path) }

var (
	metricName = regexp.MustCompile(`nutmeg_[a-z_]*[a-z]`)
	codeName   = regexp.MustCompile(`(?m)^\s*code[A-Z]\w*\s*=\s*"([a-z_]+)"`)
	queueCode  = regexp.MustCompile(`refusal\("([a-z_]+)"`)
)

// Guards against a metric that the operators' page does not explain. Names that
// the code completes at run time are matched by their beginning.
func TestMetricsAreDocumented(t *testing.T) {
	page := read(t, "docs/OPERATIONS.md")
	for _, dir := range []string{"plugin", "internal/kernel"} {
		for path, text := range sources(t, dir, notTest) {
			for _, name := range metricName.FindAllString(text, -1) {
				if !strings.Contains(page, name) {
					t.Errorf("%s: metric %s is not in docs/OPERATIONS.md", path, name)
				}
			}
		}
	}
}

// Guards against a rejection that the operators' page does not explain.
func TestRejectionsAreDocumented(t *testing.T) {
	page := read(t, "docs/OPERATIONS.md")
	found := 0
	for path, text := range sources(t, "plugin", notTest) {
		codes := append(codeName.FindAllStringSubmatch(text, -1), queueCode.FindAllStringSubmatch(text, -1)...)
		for _, m := range codes {
			found++
			if !strings.Contains(page, "`"+m[1]+"`") {
				t.Errorf("%s: rejection %s is not in docs/OPERATIONS.md", path, m[1])
			}
		}
	}
	is.New(t).True(found > 20) // the patterns still match the code
}

// Guards against a proof that names a test or scenario that does not exist.
func TestProofsExist(t *testing.T) {
	var all strings.Builder
	for _, text := range sources(t, ".", isTest) {
		all.WriteString(text)
	}
	page := read(t, "docs/PROOFS.md")
	tests := regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(page, -1)
	for _, name := range tests {
		if !strings.Contains(all.String(), "func "+name+"(") {
			t.Errorf("docs/PROOFS.md names %s, which does not exist", name)
		}
	}
	scenarios, err := filepath.Glob(filepath.Join(root, "scenario/testdata/*.txtar"))
	is.New(t).NoErr(err)
	for _, path := range scenarios {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("docs/PROOFS.md does not name scenario %s", name)
		}
	}
	is.New(t).True(len(tests) > 20 && len(scenarios) > 10)
}
