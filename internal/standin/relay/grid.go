package relay

import "time"

// Grid holds one relay for each ordered pair of instances, so that every link
// of a fleet can fail on its own.
type Grid struct {
	names  []string
	relays map[[2]string]*Relay // by dialling and listening instance
}

// NewGrid starts the relays. Targets are set with Listen.
func NewGrid(names ...string) (*Grid, error) {
	g := &Grid{names: names, relays: map[[2]string]*Relay{}}
	for _, from := range names {
		for _, to := range names {
			if from == to {
				continue
			}
			r, err := New("127.0.0.1:1") // refuses until Listen
			if err != nil {
				g.Close()
				return nil, err
			}
			g.relays[[2]string{from, to}] = r
		}
	}
	return g, nil
}

// Names returns the names of the instances.
func (g *Grid) Names() []string { return g.names }

// Link returns the relay through which one instance dials another.
func (g *Grid) Link(from, to string) *Relay { return g.relays[[2]string{from, to}] }

// Address returns what an instance has to dial to reach another. For itself it
// is a placeholder.
func (g *Grid) Address(from, to string) string {
	if r := g.Link(from, to); r != nil {
		return r.Addr()
	}
	return "127.0.0.1:1"
}

// Listen tells where an instance accepts connections.
func (g *Grid) Listen(name, address string) {
	g.each(func(_, to string, r *Relay) {
		if to == name {
			r.SetTarget(address)
		}
	})
}

// Isolate drops all bytes from and to an instance until Rejoin.
func (g *Grid) Isolate(name string) {
	g.each(func(from, to string, r *Relay) {
		if from == name || to == name {
			r.Cut(Both)
		}
	})
}

// Rejoin ends all cuts of an instance.
func (g *Grid) Rejoin(name string) {
	g.each(func(from, to string, r *Relay) {
		if from == name || to == name {
			r.Heal()
		}
	})
}

// Separate cuts the links between two instances in both directions.
func (g *Grid) Separate(a, b string) {
	g.Link(a, b).Cut(Both)
	g.Link(b, a).Cut(Both)
}

// Delay delays the bytes of all links, one way.
func (g *Grid) Delay(d time.Duration) { g.each(func(_, _ string, r *Relay) { r.Delay(d) }) }

// Close ends all relays.
func (g *Grid) Close() { g.each(func(_, _ string, r *Relay) { r.Close() }) }

func (g *Grid) each(f func(from, to string, r *Relay)) {
	for pair, r := range g.relays {
		f(pair[0], pair[1], r)
	}
}
