package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"nutmegrouter/fleetconfig"
)

// planMove applies a configuration with a planned move of a data centre, which goes out
// of service and returns after the two given durations. MARK is set to the out time,
// MARK-back to the return time. Both count from the next full second, because RFC 3339
// times are written without fractions.
func (h *harness) planMove(ts script, args []string) error {
	now := time.Now().Truncate(time.Second).Add(time.Second)
	var times [2]time.Time
	for i, text := range args[2:4] {
		d, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		times[i] = now.Add(d)
	}
	h.marks[args[0]], h.marks[args[0]+"-back"] = times[0], times[1]
	cfg := *h.fleet.Config
	cfg.Moves = append(cfg.Moves, fleetconfig.Move{
		Name: args[0], DataCentre: args[1],
		OutAt: times[0].UTC().Format(time.RFC3339), BackAt: times[1].UTC().Format(time.RFC3339),
	})
	text, err := fleetconfig.Canonical(&cfg)
	if err != nil {
		return err
	}
	file := filepath.Join(h.fleet.Dir, "move.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	return h.submit(ts, []string{"apply", file})
}

// reach waits until the time of a mark.
func (h *harness) reach(_ script, args []string) error {
	t, err := h.parseTime(args[0])
	time.Sleep(time.Until(t))
	return err
}

// timeline checks that the merged timeline of all instances contains the events in the
// given order.
func (h *harness) timeline(ts script, args []string) error {
	ctx, cancel := context.WithTimeout(h.ctx, waitTimeout)
	defer cancel()
	text, err := h.fleet.Ctl(ctx, "timeline")
	if err != nil {
		return err
	}
	rest := text
	for _, event := range args {
		_, after, ok := strings.Cut(rest, " "+event)
		if !ok {
			ts.Logf("%s", text)
			return fmt.Errorf("timeline: no %s after the events before it", event)
		}
		rest = after
	}
	return nil
}
