package scenario

import "nutmegrouter/internal/standin/relay"

// pair identifies a mesh link by its instances: from dials, to listens.
type pair struct{ from, to string }

// links holds the relay of each mesh link.
type links struct {
	relays map[pair]*relay.Relay
}

// addRelay starts a relay to a mesh address for one link and returns the address to
// dial instead.
func (l *links) addRelay(from, to, target string) (string, error) {
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

// cut holds back all bytes from one instance to the other until heal, on the links that
// either of them dialled. Connections stay open.
func (l *links) cut(from, to string) {
	l.relays[pair{from, to}].Cut(relay.ToTarget)
	l.relays[pair{to, from}].Cut(relay.ToClient)
}

// heal ends cuts on the link that one instance dialled, in both directions.
func (l *links) heal(from, to string) { l.relays[pair{from, to}].Heal() }

// silence stops all bytes on the open connections that one instance dialled to the
// other, for good. New connections work.
func (l *links) silence(from, to string) { l.relays[pair{from, to}].Silence() }

func (l *links) close() {
	for _, r := range l.relays {
		r.Close()
	}
}
