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

const fetchTimeout = 20 * time.Second

// Evidence holds the targets' own records of the work that they ran.
type Evidence struct {
	Stats map[string]standin.Stats // by target address
	// Starts counts the starts of work by request tag, summed over all targets.
	Starts map[string]int
	// Dropped counts starts that are missing in Starts, because a target's bounded
	// table was full.
	Dropped uint64
}

// Collect fetches the records of the targets at the addresses. It fails on the
// first target that cannot be read within 20 s per request.
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

// fetch decodes the JSON document at a URL into v.
func fetch(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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

// Breaches returns the number of requests, over all targets, that arrived while the
// target had no free capacity.
func (e *Evidence) Breaches() (n uint64) {
	for _, s := range e.Stats {
		n += s.Breaches
	}
	return n
}

// Utilisation returns the fraction of the slots of all targets of a kind that was
// busy since an earlier collection; nil means since the targets started. It
// returns 0 if there were no slots.
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

// StartsAfter returns the number of starts of work at a target after a time, with a
// resolution of 1 ms. Targets record a bounded number of their newest starts.
func (e *Evidence) StartsAfter(addr string, after time.Time) (n int) {
	for _, ms := range e.Stats[addr].StartsMs {
		if ms > after.UnixMilli() {
			n++
		}
	}
	return n
}

// LongestStartGap returns the longest interval without a start of work at any of the
// addresses, and the number of starts, between two times. Intervals begin at from
// or at a start and end at a start; the time after the last start does not count.
func (e *Evidence) LongestStartGap(addresses []string, from, to time.Time) (time.Duration, int) {
	times := []int64{from.UnixMilli()}
	for _, addr := range addresses {
		for _, ms := range e.Stats[addr].StartsMs {
			if ms > from.UnixMilli() && ms <= to.UnixMilli() {
				times = append(times, ms)
			}
		}
	}
	slices.Sort(times)
	longest := time.Duration(0)
	for i := range times[1:] {
		longest = max(longest, time.Duration(times[i+1]-times[i])*time.Millisecond)
	}
	return longest, len(times) - 1
}
