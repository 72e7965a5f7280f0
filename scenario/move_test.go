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

// planMove applies a configuration with a planned move of a data centre: out after
// one span, back after another. MARK is the out time, MARK-back the return.
func (w *world) planMove(ts script, args []string) error {
	now := time.Now().Truncate(time.Second).Add(time.Second)
	var at [2]time.Time
	for i, text := range args[2:4] {
		d, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		at[i] = now.Add(d)
	}
	w.marks[args[0]], w.marks[args[0]+"-back"] = at[0], at[1]
	cfg := *w.fleet.Config
	cfg.Moves = append(cfg.Moves, fleetconfig.Move{
		Name: args[0], DataCentre: args[1],
		OutAt: at[0].UTC().Format(time.RFC3339), BackAt: at[1].UTC().Format(time.RFC3339),
	})
	text, err := fleetconfig.Canonical(&cfg)
	if err != nil {
		return err
	}
	file := filepath.Join(w.fleet.Dir, "move.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	return w.submit(ts, []string{"apply", file})
}

// reach waits until the time of a mark has come.
func (w *world) reach(_ script, args []string) error {
	t, err := w.at(args[0])
	time.Sleep(time.Until(t))
	return err
}

// timeline checks that the merged timeline shows the events in this order.
func (w *world) timeline(ts script, args []string) error {
	ctx, cancel := context.WithTimeout(w.ctx, patience)
	defer cancel()
	text, err := w.fleet.Ctl(ctx, "timeline")
	if err != nil {
		return err
	}
	rest := text
	for _, word := range args {
		_, after, ok := strings.Cut(rest, " "+word)
		if !ok {
			ts.Logf("%s", text)
			return fmt.Errorf("timeline: no %s after the events before it", word)
		}
		rest = after
	}
	return nil
}
