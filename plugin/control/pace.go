package control

import "time"

// pace holds the times of the replica in ticks of 50 ms.
type pace struct {
	// election is the shortest election timeout; the longest is twice as long.
	election int
	// first is the shortest timeout until a leader has been known since the start;
	// 0 = the same.
	first     int
	heartbeat int
	// stranger is the silence after which a replica asks to be added again: one
	// that was replaced, and whose old disk has come back, hears nothing.
	stranger uint64
	// members is the interval at which the leader looks for due changes of the
	// membership.
	members uint64
	// lost is the silence after which a voter may be replaced.
	lost uint64
}

var (
	// listedPace serves a fleet whose instances are listed in the settings.
	listedPace = pace{election: 20, heartbeat: 5, stranger: 200, members: 10}
	// discoveredPace serves a fleet whose control instances are replaced while
	// callers are served: the place of a lost one must be filled within the 4 s
	// after which the next may be lost. After a loss of power all start together, and
	// callers wait for the first leader; a living one is heard within 100 ms.
	discoveredPace = pace{election: 14, first: 4, heartbeat: 2, stranger: 40, members: 2, lost: 30}
)

func (c *Control) pace() pace {
	if c.members != nil {
		return discoveredPace
	}
	return listedPace
}

func (c *Control) joinInterval() time.Duration {
	if c.members != nil {
		return discoveredJoinInterval
	}
	return joinInterval
}
