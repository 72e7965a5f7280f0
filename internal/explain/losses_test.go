package explain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an attempt that is counted under a wrong cause, twice, or not at all.
func TestCauses(t *testing.T) {
	admitted := `{"time":"2026-01-01T00:00:00Z","msg":"admitted","instance":"e","request":"r","workspace":"w","kind":"streaming","objective_ms":500}`
	line := func(second float64, msg, fields string) string {
		return fmt.Sprintf(`{"time":"2026-01-01T00:00:%06.3fZ","msg":%q,"instance":"e","request":"r"%s}`, second, msg, fields)
	}
	for _, x := range []struct {
		name  string
		lines []string
		want  Cause // "" = not counted
	}{
		{"in time", []string{admitted, line(0.4, "answered", `,"status":200`)}, servedInTime},
		{"stream in time", []string{admitted, line(0.4, "stream began", ""), line(9, "answered", "")}, servedInTime},
		{"waited", []string{admitted, line(0.3, "placed", `,"by":"owner","wait_ms":300`), line(0.9, "answered", "")}, CauseQueued},
		{"slow target", []string{admitted, line(0.1, "placed", `,"by":"owner","wait_ms":10`), line(0.9, "stream began", ""), line(2, "answered", "")}, CauseTargetSlow},
		{"placed without the owner", []string{admitted, line(0.1, "placed", `,"by":"entry"`), line(0.9, "answered", "")}, CauseOwnerAway},
		{"late after a failure", []string{admitted, line(0.1, "attempt failed", ""), line(0.9, "answered", "")}, CauseTargetFailed},
		{"service error", []string{admitted, line(0.1, "answered", `,"status":500`)}, CauseServiceError},
		{"broken", []string{admitted, line(0.1, "stream began", ""), line(0.2, "stream broken", ""), line(0.2, "answer cut", "")}, CauseTargetFailed},
		{"caller left", []string{admitted, line(0.1, "caller left", ""), line(0.1, "stream cancelled", "")}, CauseCallerLeft},
		{"process lost", []string{admitted, line(0.1, "placed", "")}, CauseProcessLost},
		{"throttled", []string{line(0, "refused", `,"workspace":"w","code":"share_exceeded","by":"entry"`)}, CauseShare},
		{"idle target", []string{admitted, line(0, "refused", `,"code":"share_yields","idle_target":true`)}, CauseIdleTarget},
		{"too late", []string{admitted, line(0, "refused", `,"code":"too_late"`)}, CauseQueued},
		{"deadline in the queue", []string{admitted, line(4, "refused", `,"code":"deadline"`)}, CauseQueued},
		{"deadline at a target", []string{admitted, line(1, "attempt failed", ""), line(4, "refused", `,"code":"deadline"`)}, CauseTargetFailed},
		{"saturated", []string{line(0, "refused", `,"code":"instance_busy"`)}, CauseEntryBusy},
		{"stopping", []string{line(0, "refused", `,"code":"stopping"`)}, CauseStopping},
		{"starting", []string{line(0, "refused", `,"code":"not_ready"`)}, CauseOwnerAway},
		{"not allowed", []string{line(0, "refused", `,"code":"unauthorized"`)}, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			r := NewLossReader(ByWorkspace, 0)
			is.NoErr(r.Read(strings.NewReader(strings.Join(append(x.lines, "no log line"), "\n"))))
			got := r.Losses()
			is.Equal(got.Unreadable, 1)
			switch x.want {
			case "":
				is.Equal(got.Total.Count, 0)
			case servedInTime:
				is.Equal(got.Total.InTime, 1)
				is.Equal(got.Total.Count, 1)
			default:
				is.Equal(got.Total.Lost, map[Cause]int{x.want: 1})
				is.Equal(got.Total.Count, 1)
			}
		})
	}
}

// Guards against a refusal code without a cause, whose requests would be missing in the report.
func TestReportedCausesAreListed(t *testing.T) {
	is := is.New(t)
	for code, c := range refusalCauses {
		found := false
		for _, listed := range Causes {
			found = found || listed == c
		}
		if !found {
			t.Errorf("code %s has the cause %q, which no report lists", code, c)
		}
	}
	is.Equal(len(Causes), 11)
}
