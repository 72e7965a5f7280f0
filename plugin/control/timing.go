package control

import "time"

// timing holds the timeouts and intervals of a replica, in ticks of tickInterval
// (50 ms).
type timing struct {
	// electionTicks is the minimum election timeout. The timeout is random, below
	// twice this value.
	electionTicks int
	// firstElectionTicks replaces electionTicks until a leader has been known since
	// the start; 0 = electionTicks.
	firstElectionTicks int
	// heartbeatTicks is the interval of the leader's heartbeats.
	heartbeatTicks int
	// rejoinTicks is the time without a leader after which a replica asks to be added
	// again. A replica that was replaced receives no messages when its old disk
	// returns.
	rejoinTicks uint64
	// membershipTicks is the interval at which the leader checks for membership
	// changes to propose.
	membershipTicks uint64
	// lostVoterTicks is the time without a response after which a voter may be
	// removed. It is used only if instances are discovered.
	lostVoterTicks uint64
}

var (
	// listedTiming is for a fleet whose instances are listed in the settings.
	listedTiming = timing{electionTicks: 20, heartbeatTicks: 5, rejoinTicks: 200, membershipTicks: 10}
	// discoveredTiming is for a fleet that discovers its instances. A lost voter must
	// be replaced within 4 s, after which the next one may be lost. After a power loss
	// all instances start together and callers wait for the first election, so the
	// first timeout is short; a running leader sends a heartbeat every 100 ms.
	discoveredTiming = timing{electionTicks: 14, firstElectionTicks: 4, heartbeatTicks: 2, rejoinTicks: 40, membershipTicks: 2, lostVoterTicks: 30}
)

// timing returns the timing for the profile in the settings.
func (c *Control) timing() timing {
	if c.topology != nil {
		return discoveredTiming
	}
	return listedTiming
}

func (c *Control) joinInterval() time.Duration {
	if c.topology != nil {
		return discoveredJoinInterval
	}
	return listedJoinInterval
}
