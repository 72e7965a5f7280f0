package doccheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const repoRoot = "../.."

// readSources returns the text by path of the Go files below a folder of the
// repository for which include returns true.
func readSources(t *testing.T, dir string, include func(path string) bool) map[string]string {
	t.Helper()
	out, err := Sources(filepath.Join(repoRoot, dir), include)
	is.New(t).NoErr(err)
	return out
}

// readFile returns the text of a file of the repository.
func readFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(repoRoot, path))
	is.New(t).NoErr(err)
	return string(raw)
}

func isTest(path string) bool    { return strings.HasSuffix(path, "_test.go") }
func isNotTest(path string) bool { return !isTest(path) }

// Patterns for metric names, constants of rejection codes and codes that are passed to
// refusal() as literals.
var (
	metricName   = regexp.MustCompile(`nutmeg_[a-z_]*[a-z]`)
	codeConstant = regexp.MustCompile(`(?m)^\s*code[A-Z]\w*\s*=\s*"([a-z_]+)"`)
	refusalCode  = regexp.MustCompile(`refusal\("([a-z_]+)"`)
)

// Guards against a metric that the operators' page does not mention. Of names that
// the code completes at run time, only the constant prefix is checked.
func TestMetricsAreDocumented(t *testing.T) {
	page := readFile(t, "docs/OPERATIONS.md")
	for _, dir := range []string{"plugin", "internal/kernel"} {
		for path, text := range readSources(t, dir, isNotTest) {
			for _, name := range metricName.FindAllString(text, -1) {
				if !strings.Contains(page, name) {
					t.Errorf("%s: metric %s is not in docs/OPERATIONS.md", path, name)
				}
			}
		}
	}
}

// Guards against a rejection code that the operators' page does not mention.
func TestRejectionsAreDocumented(t *testing.T) {
	page := readFile(t, "docs/OPERATIONS.md")
	found := 0
	for path, text := range readSources(t, "plugin", isNotTest) {
		codes := append(codeConstant.FindAllStringSubmatch(text, -1), refusalCode.FindAllStringSubmatch(text, -1)...)
		for _, m := range codes {
			found++
			if !strings.Contains(page, "`"+m[1]+"`") {
				t.Errorf("%s: rejection %s is not in docs/OPERATIONS.md", path, m[1])
			}
		}
	}
	is.New(t).True(found > 20) // the patterns still match the code
}

// Guards against a test that the proofs page names but that does not exist, and
// against a scenario that the page does not name.
func TestProofsExist(t *testing.T) {
	var testSources strings.Builder
	for _, text := range readSources(t, ".", isTest) {
		testSources.WriteString(text)
	}
	page := readFile(t, "docs/PROOFS.md")
	tests := regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(page, -1)
	for _, name := range tests {
		if !strings.Contains(testSources.String(), "func "+name+"(") {
			t.Errorf("docs/PROOFS.md names %s, which does not exist", name)
		}
	}
	scenarios, err := filepath.Glob(filepath.Join(repoRoot, "scenario/testdata/*.txtar"))
	is.New(t).NoErr(err)
	for _, path := range scenarios {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("docs/PROOFS.md does not name scenario %s", name)
		}
	}
	is.New(t).True(len(tests) > 20 && len(scenarios) > 10)
}
