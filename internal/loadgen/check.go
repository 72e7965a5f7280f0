package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/standin"
)

const fetchLimit = 20 * time.Second

// Evidence is what the targets recorded.
type Evidence struct {
	Stats map[string]standin.Stats // by address
	// Starts counts the starts of work by request tag over all targets.
	Starts map[string]int
	// Dropped counts starts that a bounded table could not take.
	Dropped uint64
}

// Collect asks all targets.
func Collect(ctx context.Context, targets []string) (*Evidence, error) {
	ev := &Evidence{Stats: map[string]standin.Stats{}, Starts: map[string]int{}}
	for _, addr := range targets {
		var s standin.Stats
		if err := fetch(ctx, "http://"+addr+"/stats", &s); err != nil {
			return nil, err
		}
		ev.Stats[addr] = s
		var t standin.RunTable
		if err := fetch(ctx, "http://"+addr+"/runs?by=tag", &t); err != nil {
			return nil, err
		}
		for tag, n := range t.Runs {
			ev.Starts[tag] += n
		}
		ev.Dropped += t.Dropped
	}
	return ev, nil
}

func fetch(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	defer resp.Body.Close()
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(v), "fetch %s", url)
}

// Breaches sums the breaches of all targets.
func (e *Evidence) Breaches() (n uint64) {
	for _, s := range e.Stats {
		n += s.Breaches
	}
	return n
}

// Utilisation returns busy over present slots of the targets of a kind since
// the evidence before; nil means since the targets started.
func (e *Evidence) Utilisation(kind standin.Kind, before *Evidence) float64 {
	var busy, slots float64
	for addr, s := range e.Stats {
		if s.Kind != kind {
			continue
		}
		busy, slots = busy+s.BusySlotMs, slots+s.SlotMs
		if before != nil {
			busy, slots = busy-before.Stats[addr].BusySlotMs, slots-before.Stats[addr].SlotMs
		}
	}
	if slots == 0 {
		return 0
	}
	return busy / slots
}

// StartsAfter counts the recorded starts of work at an address after a time.
func (e *Evidence) StartsAfter(addr string, after time.Time) (n int) {
	for _, ms := range e.Stats[addr].StartsMs {
		if ms > after.UnixMilli() {
			n++
		}
	}
	return n
}

// LongestPause returns the longest time without a start of work at any of the
// addresses between two times, and the number of starts.
func (e *Evidence) LongestPause(addresses []string, from, to time.Time) (time.Duration, int) {
	times := []int64{from.UnixMilli()}
	for _, addr := range addresses {
		for _, ms := range e.Stats[addr].StartsMs {
			if ms > from.UnixMilli() && ms <= to.UnixMilli() {
				times = append(times, ms)
			}
		}
	}
	slices.Sort(times)
	worst := time.Duration(0)
	for i := range times[1:] {
		worst = max(worst, time.Duration(times[i+1]-times[i])*time.Millisecond)
	}
	return worst, len(times) - 1
}
