package fleetrun

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports are taken from below the range of outgoing connections, so that none of
// those can take the port of a process that is down for a while.
const (
	firstPort = 10000
	lastPort  = 30000
)

var taken = struct {
	sync.Mutex
	next  int
	ports map[int]bool
}{next: firstPort + rand.IntN(lastPort-firstPort), ports: map[int]bool{}}

// freePorts returns n loopback ports that nobody listens on and that were not
// returned before by this process.
func freePorts(n int) ([]int, error) {
	taken.Lock()
	defer taken.Unlock()
	var out []int
	for tries := 0; len(out) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.New("no free ports")
		}
		p := taken.next
		if taken.next++; taken.next >= lastPort {
			taken.next = firstPort
		}
		if taken.ports[p] || !free(p) {
			continue
		}
		taken.ports[p] = true
		out = append(out, p)
	}
	return out, nil
}

func free(port int) bool {
	l, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	return l.Close() == nil
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
