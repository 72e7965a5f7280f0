package relay

import "time"

// Grid connects a fleet of instances by one relay per ordered pair of instances, so that
// each link can fail separately.
type Grid struct {
	names  []string
	relays map[[2]string]*Relay // by names of the dialling and the listening instance
}

// NewGrid starts the relays between the named instances. Connections fail until Listen
// sets their target. It returns an error if a relay cannot listen.
func NewGrid(names ...string) (*Grid, error) {
	g := &Grid{names: names, relays: map[[2]string]*Relay{}}
	for _, from := range names {
		for _, to := range names {
			if from == to {
				continue
			}
			r, err := New("127.0.0.1:1") // nothing listens on port 1
			if err != nil {
				g.Close()
				return nil, err
			}
			g.relays[[2]string{from, to}] = r
		}
	}
	return g, nil
}

// Names returns the names of the instances in the order given to NewGrid.
func (g *Grid) Names() []string { return g.names }

// Link returns the relay through which one instance dials another, or nil if there is
// none.
func (g *Grid) Link(from, to string) *Relay { return g.relays[[2]string{from, to}] }

// Address returns the IP:port that instance from dials to reach instance to. If there is
// no such link, it is an address on which nothing listens.
func (g *Grid) Address(from, to string) string {
	if r := g.Link(from, to); r != nil {
		return r.Addr()
	}
	return "127.0.0.1:1"
}

// Listen sets the IP:port at which an instance accepts connections, as the target of all
// links to it.
func (g *Grid) Listen(name, address string) {
	g.eachLink(func(_, to string, r *Relay) {
		if to == name {
			r.SetTarget(address)
		}
	})
}

// Isolate cuts all links from and to an instance, in both directions, until Rejoin.
func (g *Grid) Isolate(name string) {
	g.eachLink(func(from, to string, r *Relay) {
		if from == name || to == name {
			r.Cut(Both)
		}
	})
}

// Rejoin heals all links from and to an instance.
func (g *Grid) Rejoin(name string) {
	g.eachLink(func(from, to string, r *Relay) {
		if from == name || to == name {
			r.Heal()
		}
	})
}

// Separate cuts both links between two instances until Rejoin of one of them. It panics
// if there is no such link.
func (g *Grid) Separate(a, b string) {
	g.Link(a, b).Cut(Both)
	g.Link(b, a).Cut(Both)
}

// Delay delays the bytes of all links by d in each direction.
func (g *Grid) Delay(d time.Duration) { g.eachLink(func(_, _ string, r *Relay) { r.Delay(d) }) }

// Close closes all relays.
func (g *Grid) Close() { g.eachLink(func(_, _ string, r *Relay) { r.Close() }) }

func (g *Grid) eachLink(f func(from, to string, r *Relay)) {
	for link, r := range g.relays {
		f(link[0], link[1], r)
	}
}
