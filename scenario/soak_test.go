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
	playFaults(t, 1, 7*time.Second, "targets-limit")
}

// Guards against requests that reach targets which have said that they leave or want a pause.
func TestLeavingAndPausingTargetsAreSentNothing(t *testing.T) {
	playFaults(t, 1, 10*time.Second, "replace-target", "targets-refuse")
}

// Guards against a request that crashes target after target, because each repeat counts as another
// request. The seeds play it on the plain and on the model service.
func TestRequestThatCrashesTargetsIsStopped(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		playFaults(t, seed, 8*time.Second, "deadly-request")
	}
}

// Guards against a rollout that is lost, gives a bad version more than the bounds allow, or goes on to use a version
// after its end, because control or entry instances or targets fail meanwhile.
func TestRolloutsUnderFaults(t *testing.T) {
	playFaults(t, 1, 8*time.Second, "rollout", "kill-control", "kill-entry", "targets-fail")
}

// playFaults injects faults into a fleet under load and fails the test if a guarantee is violated.
func playFaults(t *testing.T, seed uint64, duration time.Duration, faults ...string) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts a whole fleet")
	}
	o := soak.Options{
		Seed: seed, Dir: t.TempDir(), Binary: filepath.Join(binDir, "nutmegd"), Controls: 3, Entries: 4, Engines: 6, Plain: 3, Losses: 1,
		RequestsPerS: 120, TokensPerS: 400_000, Duration: duration, Network: 41, Faults: faults,
		Log: func(string, ...any) {},
	}
	if err := o.Validate(); err != nil {
		t.Fatal(err)
	}
	report, err := soak.Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d of %d served, faults %v", seed, report.Served, report.Attempts, report.Faults)
	if len(report.Violations) > 0 {
		t.Errorf("%d violations, the first:\n%s", len(report.Violations), strings.Join(report.Violations[:min(5, len(report.Violations))], "\n"))
	}
}
