package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against first attempts of less patient callers that count as late: on the
// Quito site the owner took nine of ten requests of a route for late and refused them.
func TestPatience(t *testing.T) {
	is := is.New(t)
	var p patience
	is.Equal(p.waited("r", 12*time.Second), time.Duration(0))
	for _, first := range []time.Duration{10300 * time.Millisecond, 11 * time.Second, 11900 * time.Millisecond} {
		is.Equal(p.waited("r", first), time.Duration(0))
	}
	is.Equal(p.waited("r", 8*time.Second), 2200*time.Millisecond) // at least so long
	is.Equal(p.waited("other", 3*time.Second), time.Duration(0))
	is.Equal(p.waited("r", 0), time.Duration(0)) // not said
}
