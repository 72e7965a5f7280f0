package fleetrun

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports are below the ephemeral range, so that no outgoing connection can occupy
// the port of a process that is stopped for a while.
const (
	firstPort = 10000
	lastPort  = 30000
)

// portAllocator holds the next candidate and the ports already returned.
var portAllocator = struct {
	sync.Mutex
	next     int
	reserved map[int]bool
}{next: firstPort + rand.IntN(lastPort-firstPort), reserved: map[int]bool{}}

// freePorts returns n loopback ports that are not in use and that this process has
// not returned before.
func freePorts(n int) ([]int, error) {
	portAllocator.Lock()
	defer portAllocator.Unlock()
	var out []int
	for tried := 0; len(out) < n; tried++ {
		if tried > lastPort-firstPort {
			return nil, errors.New("no free ports")
		}
		p := portAllocator.next
		if portAllocator.next++; portAllocator.next >= lastPort {
			portAllocator.next = firstPort
		}
		if portAllocator.reserved[p] || !canListen(p) {
			continue
		}
		portAllocator.reserved[p] = true
		out = append(out, p)
	}
	return out, nil
}

func canListen(port int) bool {
	l, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	return l.Close() == nil
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
