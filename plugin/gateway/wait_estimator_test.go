package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against first attempts with a shorter deadline that count as retries: the owner
// then refused nine of ten requests of a route as past their deadline.
func TestEarlierWait(t *testing.T) {
	is := is.New(t)
	var e waitEstimator
	is.Equal(e.earlierWait("r", 12*time.Second), time.Duration(0))
	for _, first := range []time.Duration{10300 * time.Millisecond, 11 * time.Second, 11900 * time.Millisecond} {
		is.Equal(e.earlierWait("r", first), time.Duration(0))
	}
	is.Equal(e.earlierWait("r", 8*time.Second), 2200*time.Millisecond) // lower bound
	is.Equal(e.earlierWait("other", 3*time.Second), time.Duration(0))
	is.Equal(e.earlierWait("r", 0), time.Duration(0)) // no deadline
}
