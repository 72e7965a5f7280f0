package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"nutmegrouter/internal/api"
)

const (
	warmthTTL    = 10 * time.Second
	reportLag    = 2 * time.Second
	requestLimit = 10 * time.Minute
)

func config(name, dc string, warm, cold int) Config {
	return Config{Name: name, DataCentre: dc, WarmCapacity: warm, ColdCapacity: cold,
		WarmthTTL: warmthTTL, ReportLag: reportLag, RequestLimit: requestLimit}
}

// fixture is a set with one target and a simulated clock.
type fixture struct {
	*Set
	now     time.Duration
	t       *Target
	running []*Work
}

func newFixture(warm, cold int) *fixture {
	f := &fixture{Set: NewSet(), now: time.Minute}
	f.Configure([]Config{config("t", "dc", warm, cold)}, f.now)
	f.t = f.Target("t")
	return f
}

// begin starts up to n requests while the target has free capacity and returns how
// many it started.
func (f *fixture) begin(n int) int {
	for i := range n {
		t := f.Pick("dc", "")
		if t == nil {
			return i
		}
		w := &Work{}
		f.Begin(t, w, f.now)
		f.running = append(f.running, w)
	}
	return n
}

func (f *fixture) pop() *Work {
	w := f.running[0]
	f.running = f.running[1:]
	return w
}

func (f *fixture) end(r api.GrantResult, w api.Warmth, boot uint64) {
	f.End(f.pop(), api.GrantOutcome{Result: r, Warmth: w, BootNumber: boot}, f.now)
}

// warmUp raises the limit of the target to its warm capacity without starting work.
func (f *fixture) warmUp() {
	for f.t.Limit() < f.t.WarmCapacity {
		f.Report("t", Report{Warmth: api.WarmthWarm, Boot: 1}, f.now)
	}
}

// Guards against a limit that grows without evidence, stays high when the target is
// cold (section 9.5 of the design), or never grows.
func TestLimit(t *testing.T) {
	cases := []struct {
		name  string
		apply func(f *fixture)
		want  int
	}{
		{"unknown is cold", func(*fixture) {}, 2},
		{"warm response header", func(f *fixture) { f.begin(1); f.Confirm(f.running[0], api.WarmthWarm, 1, f.now) }, 3},
		{"response header without state", func(f *fixture) { f.begin(1); f.Confirm(f.running[0], "", 0, f.now) }, 2},
		{"completion", func(f *fixture) { f.begin(1); f.end(api.ResultOK, "", 0) }, 3},
		{"cold completion", func(f *fixture) { f.begin(1); f.end(api.ResultOK, api.WarmthCold, 1) }, 2},
		{"cancelled", func(f *fixture) { f.begin(1); f.end(api.ResultCancelled, "", 0) }, 2},
		{"warm report", func(f *fixture) { f.Report("t", Report{Warmth: api.WarmthWarm}, f.now) }, 3},
		{"report without state", func(f *fixture) { f.Report("t", Report{}, f.now) }, 2},
		{"warm capacity", func(f *fixture) { f.warmUp(); f.warmUp(); f.Report("t", Report{Warmth: api.WarmthWarm}, f.now) }, 8},
		{"cold report", func(f *fixture) { f.warmUp(); f.Report("t", Report{Warmth: api.WarmthCold, Boot: 1}, f.now) }, 2},
		{"cold response header", func(f *fixture) { f.warmUp(); f.begin(1); f.Confirm(f.running[0], api.WarmthCold, 1, f.now) }, 2},
		{"new boot in a response header", func(f *fixture) { f.warmUp(); f.begin(1); f.Confirm(f.running[0], "", 2, f.now) }, 2},
		{"new boot in a report", func(f *fixture) { f.warmUp(); f.Report("t", Report{Boot: 2}, f.now) }, 2},
		{"new boot, warm", func(f *fixture) { f.warmUp(); f.Report("t", Report{Boot: 2, Warmth: api.WarmthWarm}, f.now) }, 3},
		{"failure", func(f *fixture) { f.warmUp(); f.begin(1); f.end(api.ResultFailed, "", 0) }, 2},
		{"refused poll", func(f *fixture) { f.warmUp(); f.ConnectionRefused("t", f.now) }, 2},
		{"poll without a report", func(f *fixture) { f.warmUp(); f.PollFailed("t", f.now) }, 8},
		{"no evidence while running", func(f *fixture) { f.warmUp(); f.begin(1); f.Tick(f.now + warmthTTL + 1) }, 2},
		{"idle without evidence", func(f *fixture) { f.warmUp(); f.Tick(f.now + warmthTTL + 1) }, 2},
		{"young evidence", func(f *fixture) { f.warmUp(); f.Tick(f.now + warmthTTL) }, 8},
		{"responses sent before a restart", func(f *fixture) {
			f.warmUp()
			f.begin(2)
			f.Report("t", Report{Boot: 2, Warmth: api.WarmthCold}, f.now)
			f.Confirm(f.running[0], api.WarmthWarm, 1, f.now)
			f.end(api.ResultOK, api.WarmthWarm, 1)
			f.end(api.ResultOK, api.WarmthWarm, 1)
		}, 2},
		{"boot numbers start again", func(f *fixture) {
			f.Report("t", Report{Boot: 9, Warmth: api.WarmthCold}, f.now)
			for range 9 {
				f.now += time.Second
				f.Report("t", Report{Boot: 1, Warmth: api.WarmthWarm}, f.now)
			}
		}, 8},
		{"warm reports after a cold response header", func(f *fixture) {
			f.begin(1)
			f.Confirm(f.running[0], api.WarmthCold, 1, f.now)
			f.warmUp()
			f.end(api.ResultOK, api.WarmthCold, 1)
		}, 8},
		{"leaving", func(f *fixture) { f.warmUp(); f.SetLeaving(map[string]bool{"t": true}, f.now) }, 0},
		{"out", func(f *fixture) { f.warmUp(); f.SetOut(map[string]bool{"dc": true}, f.now) }, 0},
		{"cold after a return", func(f *fixture) {
			f.warmUp()
			f.SetOut(map[string]bool{"dc": true}, f.now)
			f.SetOut(nil, f.now)
		}, 2},
		{"removed", func(f *fixture) { f.warmUp(); f.begin(1); f.Configure(nil, f.now) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(8, 2)
			c.apply(f)
			if f.t.Limit() != c.want {
				t.Fatalf("limit is %d, want %d", f.t.Limit(), c.want)
			}
		})
	}
}

// Guards against more unconfirmed requests than the cold capacity at a warm target.
func TestUnconfirmedWithinColdCapacity(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 2)
	f.warmUp()
	is.Equal(f.begin(8), 2)
	f.Report("t", Report{Warmth: api.WarmthWarm, Boot: 1, Running: 2}, f.now+reportLag) // started exactly ReportLag ago: not confirmed
	is.Equal(f.t.Unconfirmed(), 2)
	f.Report("t", Report{Warmth: api.WarmthWarm, Boot: 1, Running: 2}, f.now+reportLag+1)
	is.Equal(f.t.Unconfirmed(), 0)
	f.now += reportLag + 1
	is.Equal(f.begin(8), 2)
	f.Confirm(f.running[2], "", 0, f.now) // a header without warmth confirms nothing
	is.Equal(f.t.Unconfirmed(), 2)
	f.Report("t", Report{Boot: 2}, f.now) // a restart voids all confirmations
	is.Equal(f.t.Unconfirmed(), 4)
}

// Guards against a failed target that attracts all requests because it looks free.
func TestBackoffAfterFailure(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 2)
	for i, backoff := range []time.Duration{1, 2, 4, 8, 16, 20, 20} {
		is.Equal(f.begin(1), 1)
		f.end(api.ResultFailed, "", 0)
		is.Equal(f.begin(1), 0) // back-off
		f.now += backoff * initialBackoff
		f.Tick(f.now - 1)
		is.Equal(f.begin(1), 0) // not yet
		f.Tick(f.now)
		is.True(f.t.failures == i+1)
	}
	is.Equal(f.begin(1), 1)
	f.end(api.ResultOK, "", 0)
	is.Equal(f.t.failures, 0)
}

// Guards against work of an unreachable instance that is removed while it may still
// run, or never.
func TestOrphanedWork(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	is.Equal(f.begin(2), 2)
	f.Orphan(f.running[0], f.now)
	f.Orphan(f.running[1], f.now)
	f.Report("t", Report{}, f.now+reportLag) // may describe the target before the work was orphaned
	is.Equal(f.t.Orphans(), 2)
	f.now += reportLag + 1
	f.Report("t", Report{Running: 1}, f.now)
	is.Equal(f.t.Orphans(), 1)
	is.Equal(f.begin(2), 1)
	f.Report("t", Report{Running: 2}, f.now) // includes the new request
	is.Equal(f.t.Orphans(), 1)
	f.Tick(f.now + requestLimit)
	is.Equal(f.t.Orphans(), 0) // RequestLimit has passed
	is.Equal(f.t.Used(), 1)
}

// Guards against work that only the target knows of and that does not count, or that
// counts twice once an instance reports it.
func TestUntrackedWork(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 4)
	f.AwaitReports(f.now+time.Second, f.now)
	is.Equal(f.begin(1), 0) // no work before the first report
	f.Report("t", Report{Running: 2, Queued: 1}, f.now)
	is.Equal(f.t.Used(), 3)
	is.Equal(f.begin(4), 1)
	f.Report("t", Report{Running: 4}, f.now) // may or may not include the new request
	is.Equal(f.t.Used(), 4)
	f.Adopt(f.t, &Work{}, 0, true, f.now)
	is.Equal(f.t.Used(), 4) // part of the untracked work is now tracked
	f.now += 3 * reportLag
	f.Report("t", Report{Running: 2}, f.now)
	is.Equal(f.t.Used(), 2)
	f.AwaitReports(f.now+time.Second, f.now)
	f.Tick(f.now + time.Second)
	is.Equal(f.begin(1), 1) // the wait ends without a report
}

// Guards against a pick that ignores the free share, the data centre or the target to
// avoid.
func TestPick(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	s.Configure([]Config{config("a", "x", 4, 4), config("b", "x", 4, 4), config("c", "y", 4, 4), config("d", "y", 8, 8)}, 0)
	is.Equal(s.Pick("y", "").DataCentre, "y")
	is.Equal(s.Pick("x", "").DataCentre, "x")
	is.Equal(s.Pick("x", "a").Name, "b")
	for _, name := range []string{"a", "b", "c"} {
		s.Begin(s.Target(name), &Work{}, 0)
	}
	is.Equal(s.Pick("x", "").Name, "d")   // the largest free share, in another data centre
	is.True(s.Pick("x", "d").Name != "d") // avoided
	s.SetLeaving(map[string]bool{"a": true, "b": true, "c": true}, 0)
	is.Equal(s.Pick("x", "d").Name, "d") // no other has free capacity
	s.SetOut(map[string]bool{"y": true}, 0)
	is.True(s.Pick("x", "") == nil)
}

// Guards against heaps that miss a target with free capacity or return one without,
// and against counts that diverge from the work, after random operations.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := NewSet(), time.Minute
		var cs []Config
		for i := range rapid.IntRange(1, 6).Draw(t, "targets") {
			cs = append(cs, config(fmt.Sprint(i), fmt.Sprint(i%2), rapid.IntRange(1, 6).Draw(t, "warm"), rapid.IntRange(1, 6).Draw(t, "cold")))
		}
		s.Configure(cs, now)
		var works []*Work
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			works = applyRandomOperation(t, s, cs, works, now)
			checkInvariants(t, s, works, now)
		}
	})
}

func applyRandomOperation(t *rapid.T, s *Set, cs []Config, works []*Work, now time.Duration) []*Work {
	name := cs[rapid.IntRange(0, len(cs)-1).Draw(t, "target")].Name
	warmth := rapid.SampledFrom([]api.Warmth{"", api.WarmthWarm, api.WarmthCold}).Draw(t, "warmth")
	boot := uint64(rapid.IntRange(0, 3).Draw(t, "boot"))
	i := rapid.IntRange(0, max(0, len(works)-1)).Draw(t, "work")
	op := rapid.IntRange(0, 9).Draw(t, "operation")
	if op >= 6 && len(works) == 0 {
		op = 0
	}
	switch op {
	case 0, 1:
		if x := s.Pick(fmt.Sprint(boot%2), name); x != nil {
			w := &Work{}
			s.Begin(x, w, now)
			if x.Unconfirmed() > x.ColdCapacity || x.Used() > x.Limit() {
				t.Fatalf("%s: %d used of %d, %d unconfirmed of %d", x.Name, x.Used(), x.Limit(), x.Unconfirmed(), x.ColdCapacity)
			}
			works = append(works, w)
		}
	case 2:
		s.Report(name, Report{Warmth: warmth, Boot: boot, Running: rapid.IntRange(0, 9).Draw(t, "running")}, now)
	case 3:
		s.Tick(now)
	case 4:
		s.SetLeaving(map[string]bool{name: warmth == ""}, now)
	case 5:
		s.SetOut(map[string]bool{fmt.Sprint(boot): true}, now)
	case 6:
		s.Confirm(works[i], warmth, boot, now)
	case 7:
		s.Orphan(works[i], now)
	case 8:
		r := rapid.SampledFrom([]api.GrantResult{api.ResultOK, api.ResultFailed, api.ResultCancelled}).Draw(t, "result")
		s.End(works[i], api.GrantOutcome{Result: r, Warmth: warmth, BootNumber: boot}, now)
		works = append(works[:i], works[i+1:]...)
	case 9:
		s.Remove(works[i], now)
		works = append(works[:i], works[i+1:]...)
	}
	return works
}

// checkInvariants compares the counts of the set with the work, and Pick with a scan
// of all targets.
func checkInvariants(t *rapid.T, s *Set, works []*Work, now time.Duration) {
	s.Tick(now) // a back-off may have ended
	best := -1.0
	for _, x := range s.targets {
		used, unconfirmed, orphans := 0, 0, 0
		for _, w := range works {
			if w.target == x {
				used++
				if !w.confirmed {
					unconfirmed++
				}
				if w.orphan {
					orphans++
				}
			}
		}
		if used != x.tracked || unconfirmed != x.unconfirmed || orphans != x.orphans {
			t.Fatalf("%s counts %d, %d, %d, want %d, %d, %d", x.Name, x.tracked, x.unconfirmed, x.orphans, used, unconfirmed, orphans)
		}
		if x.limit < x.ColdCapacity || x.limit > x.WarmCapacity {
			t.Fatalf("%s has limit %d", x.Name, x.limit)
		}
		if x.hasCapacity(now) {
			best = max(best, x.freeShare())
		}
	}
	picked := s.Pick("0", "")
	if (picked == nil) != (best < 0) || picked != nil && (picked.freeShare() != best || !picked.hasCapacity(now)) {
		t.Fatalf("picked %v, want free share %v", picked, best)
	}
}
