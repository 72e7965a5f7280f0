package placement

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a forwarded share that stays small while targets have room, one that keeps
// growing while requests are refused or shed, and one that changes without requests.
func TestForwardControl(t *testing.T) {
	is := is.New(t)
	var f forwardControl
	f.endInterval()
	is.Equal(f.factor(), 1.0)
	intervals := 0
	for ; minForwardShare*f.factor() < 1 && intervals < 100; intervals++ {
		f.recordForwarded(100)
		f.recordRefused(100 * roomRefusalShare)
		f.endInterval()
	}
	is.True(intervals <= windowSlots) // within a share window, all requests are forwarded
	f.recordForwarded(100)
	f.endInterval()
	is.Equal(minForwardShare*f.factor(), 1.0)
	f.endInterval()
	is.Equal(minForwardShare*f.factor(), 1.0)
	f.recordForwarded(100)
	f.recordRefused(100*roomRefusalShare + 1)
	f.endInterval()
	is.Equal(f.factor(), 1.0)
}

// Guards against forwarding more to entry instances that already shed requests.
func TestShedRequestsEndForwardGrowth(t *testing.T) {
	is := is.New(t)
	s := newShares(4 * second)
	s.usageOf("w").forwardControl.growth = 4
	s.usageOf("w").forwardControl.recordForwarded(100)
	s.recordShed("w", 50, second)
	s.usageOf("w").forwardControl.endInterval()
	is.Equal(s.usageOf("w").forwardControl.factor(), 1.0)
}
