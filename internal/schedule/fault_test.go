package schedule

import (
	"testing"
	"time"
)

// expectSound reports what the targets have found.
func expectSound(t *testing.T, s *sim, seed uint64) {
	t.Helper()
	for _, f := range s.faulty {
		t.Errorf("seed %d: %s", seed, f)
	}
}

// expectDrained lets all work end and looks for slots or requests left behind.
func expectDrained(t *testing.T, l *load, seed uint64) {
	t.Helper()
	clear(l.active)
	l.faults = false
	l.run(60 * time.Second)
	for _, r := range l.routers {
		if r.alive && r.r.Queued()+r.r.Running() > 0 {
			t.Errorf("seed %d: router %s keeps %d waiting and %d running", seed, r.name, r.r.Queued(), r.r.Running())
		}
	}
	if l.owner == nil {
		return
	}
	for _, x := range l.owner.Limits().Targets() {
		if x.Used() != 0 || x.Unconfirmed() != 0 {
			t.Errorf("seed %d: %s has %d used, %d unconfirmed at rest", seed, x.Name, x.Used(), x.Unconfirmed())
		}
	}
	if l.owner.Waiting() != 0 || len(l.owner.fair.Rows(nil, false)) > 0 && l.owner.fair.Min() != nil {
		t.Errorf("seed %d: the owner keeps %d waiting", seed, l.owner.Waiting())
	}
}

// strike makes one random fault.
func (l *load) strike() {
	r := l.routers[l.rng.IntN(len(l.routers))]
	x := l.targets[l.rng.IntN(len(l.targets))]
	switch l.rng.IntN(8) {
	case 0:
		if r.alive && r.name != l.at {
			r.die()
			l.after(time.Duration(100+l.rng.IntN(6000))*ms, r.restart)
		}
	case 1, 2:
		x.turnCold(true)
	case 3:
		x.turnCold(false)
	case 4:
		l.moveOut(x.dc)
	case 5:
		l.takeOver()
	case 6:
		l.faults = !l.faults
	case 7:
		l.setLeaving(x.name, !l.leaving[x.name])
	}
}

// moveOut takes a data centre out and brings it back cold, all at once.
func (l *load) moveOut(dc string) {
	if l.out[dc] {
		return
	}
	l.out[dc] = true
	l.reconfigure()
	l.after(5*time.Second, func() {
		for _, x := range l.targets {
			if x.dc == dc {
				x.turnCold(true)
			}
		}
		delete(l.out, dc)
		l.reconfigure()
	})
}

func (l *load) setLeaving(target string, leaving bool) {
	l.leaving[target] = leaving
	l.reconfigure()
}

func (l *load) reconfigure() {
	if l.owner != nil {
		l.configure()
	}
}

// takeOver kills the scheduling of the present owner; another one follows when
// its votes have expired.
func (l *load) takeOver() {
	if l.owner == nil {
		return
	}
	l.setOwner("")
	l.after(simLease+100*ms, func() {
		for _, r := range l.routers {
			if r.alive {
				l.setOwner(r.name)
				return
			}
		}
	})
}

// Guards against overload of a target (R3) and against lost or doubled slots
// under any mix of faults: dead and restarted routers, targets that turn cold,
// a data centre that returns, takeovers, lost, doubled and late messages.
func TestStorm(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		l := newLoad(seed)
		l.run(5 * time.Second)
		for range 20 {
			l.strike()
			l.run(time.Duration(l.rng.IntN(3000)) * ms)
		}
		l.run(10 * time.Second)
		expectSound(t, l.sim, seed)
		expectDrained(t, l, seed)
	}
}
