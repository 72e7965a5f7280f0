// Command sierranorte prints the configuration of Rayuela's Quito fleet. Its
// addresses and keys are examples.
package main

import (
	"fmt"
	"os"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/operator"
)

const (
	engineReplicas   = 18 // replicas of the layout assistant
	bookingReplicas  = 4  // replicas of the booking service
	parishWorkspaces = 12 // small workspaces
)

func main() {
	if err := fleet().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fleet returns the definition of the example fleet.
func fleet() *operator.Fleet {
	f := operator.New("sierra-norte")
	var dataCentres []operator.DataCentre
	for _, name := range []string{"quito-centro", "cumbaya", "tumbaco", "calderon"} {
		dataCentres = append(dataCentres, f.DataCentre(name))
	}
	tiza := f.Engine("tiza-llm", "tiza-8b", "1")
	for i := range engineReplicas {
		dc := i % len(dataCentres)
		tiza.Target(fmt.Sprintf("tiza-%02d", i+1), dataCentres[dc],
			fmt.Sprintf("10.40.%d.%d:8000", dc+1, i/len(dataCentres)+1), operator.Capacity{Warm: 6, Cold: 1})
	}
	// Running a confirmation twice charges a hirer twice, so the service is not marked
	// idempotent.
	reservas := f.Service("reservas").Set(func(p *fleetconfig.Pool) { p.RequestLimitMs = 20_000 })
	for i := range bookingReplicas {
		reservas.Target(fmt.Sprintf("reservas-%d", i+1), dataCentres[i],
			fmt.Sprintf("10.41.%d.1:8000", i+1), operator.Capacity{Warm: 24, Cold: 4})
	}
	for _, large := range []string{"municipio-quito", "colegios-norte", "ferias-pichincha", "plazas-unidas"} {
		f.Workspace(large, 5, operator.HashKey("example-"+large))
	}
	for i := range parishWorkspaces {
		name := fmt.Sprintf("parroquia-%02d", i+1)
		f.Workspace(name, 1, operator.HashKey("example-"+name))
	}
	return f
}
