package scenario

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"nutmegrouter/internal/soak"
)

// Guards against targets that get more requests from all entry instances together than they take.
func TestTargetsGetNoMoreThanTheirLimit(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a whole fleet")
	}
	o := soak.Options{
		Seed: 1, Dir: t.TempDir(), Binary: filepath.Join(binDir, "nutmegd"), Controls: 3, Entries: 4, Engines: 6, Plain: 3, Losses: 1,
		RequestsPerS: 120, TokensPerS: 400_000, Duration: 7 * time.Second, Network: 41, Faults: []string{"targets-limit"},
		Log: func(string, ...any) {},
	}
	if err := o.Validate(); err != nil {
		t.Fatal(err)
	}
	report, err := soak.Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d of %d served", report.Served, report.Attempts)
	if len(report.Violations) > 0 {
		t.Errorf("%d violations, the first:\n%s", len(report.Violations), strings.Join(report.Violations[:min(5, len(report.Violations))], "\n"))
	}
}
