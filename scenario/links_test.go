package scenario

import "nutmegrouter/internal/standin/relay"

// pair names the instances of a link; the first one dials.
type pair struct{ from, to string }

// links holds a relay for each directed pair of instances.
type links struct {
	relays map[pair]*relay.Relay
}

// open puts a relay in front of a mesh address.
func (l *links) open(from, to, target string) (string, error) {
	r, err := relay.New(target)
	if err != nil {
		return "", err
	}
	if l.relays == nil {
		l.relays = map[pair]*relay.Relay{}
	}
	l.relays[pair{from, to}] = r
	return r.Addr(), nil
}

// cut drops all bytes from one instance to the other, on the links that either
// of them dialled.
func (l *links) cut(from, to string) {
	l.relays[pair{from, to}].Cut(relay.ToTarget)
	l.relays[pair{to, from}].Cut(relay.ToClient)
}

func (l *links) heal(from, to string) { l.relays[pair{from, to}].Heal() }

// silence makes the open connections that one instance dialled silent for good.
func (l *links) silence(from, to string) { l.relays[pair{from, to}].Silence() }

func (l *links) close() {
	for _, r := range l.relays {
		r.Close()
	}
}
