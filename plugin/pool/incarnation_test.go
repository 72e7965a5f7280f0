package pool

import "testing"

// Guards against a restarted process that draws an incarnation of an earlier one, whose messages
// the owner ignores: a large fleet restarts some 5,000 processes a day.
func TestIncarnationsDiffer(t *testing.T) {
	seen := map[uint64]bool{}
	for range 10_000 {
		n := (&Client{}).newIncarnation()
		if n == 0 || seen[n] {
			t.Fatalf("incarnation %d drawn twice or 0", n)
		}
		seen[n] = true
	}
}
