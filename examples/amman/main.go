// Command amman prints the configuration of Tapfinder's Amman fleet. Its
// addresses and keys are examples.
//
//	go run ./examples/amman > amman.json && nutmegctl apply -dry-run amman.json
package main

import (
	"fmt"
	"os"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/operator"
)

const (
	matcherReplicas = 12 // replicas of the cartridge matcher
	counterReplicas = 4  // replicas of the reservation service
	shopWorkspaces  = 13 // small workspaces
)

func main() {
	if err := fleet().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fleet returns the definition of the example fleet.
func fleet() *operator.Fleet {
	f := operator.New("amman")
	var dataCentres []operator.DataCentre
	for _, name := range []string{"amman-a", "amman-b", "amman-c", "amman-d"} {
		dataCentres = append(dataCentres, f.DataCentre(name))
	}
	matcher := f.Engine("matcher-llm", "matcher-7b", "3")
	for i := range matcherReplicas {
		matcher.Target(fmt.Sprintf("matcher-%02d", i+1), dataCentres[i%len(dataCentres)],
			fmt.Sprintf("10.20.%d.%d:8000", i%len(dataCentres)+1, i/len(dataCentres)+1), operator.Capacity{Warm: 8, Cold: 2})
	}
	// A reservation must not run twice, so the service is not marked idempotent.
	counter := f.Service("counter-api").Set(func(p *fleetconfig.Pool) { p.RequestLimitMs = 30_000 })
	for i := range counterReplicas {
		counter.Target(fmt.Sprintf("counter-%d", i+1), dataCentres[i],
			fmt.Sprintf("10.21.%d.1:8000", i+1), operator.Capacity{Warm: 32, Cold: 4})
	}
	f.Workspace("plumbers-jordan", 8, operator.HashKey("example-plumbers-jordan"))
	f.Workspace("counter-chain", 6, operator.HashKey("example-counter-chain"))
	f.Workspace("wholesale", 4, operator.HashKey("example-wholesale"))
	for i := range shopWorkspaces {
		name := fmt.Sprintf("shop-%02d", i+1)
		f.Workspace(name, 1, operator.HashKey("example-"+name))
	}
	return f
}
