package fleetstate

import (
	"fmt"
	"testing"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// sizes are those of current fleets, of the design scale and of ten times that.
var sizes = []struct{ workspaces, targets int }{{16, 16}, {430, 1200}, {4300, 12000}}

func largeConfig(workspaces, targets int) *fleetconfig.Config {
	c := &fleetconfig.Config{Fleet: "bench", Pools: []fleetconfig.Pool{{Name: "p", Kind: fleetconfig.KindService}}}
	for i := range 23 {
		c.DataCentres = append(c.DataCentres, fleetconfig.DataCentre{Name: fmt.Sprint("dc", i)})
	}
	for i := range workspaces {
		c.Workspaces = append(c.Workspaces, fleetconfig.Workspace{Name: fmt.Sprint("workspace", i), Weight: 1, KeyHashes: []string{fmt.Sprintf("%064x", i)}})
	}
	for i := range targets {
		c.Targets = append(c.Targets, fleetconfig.Target{
			Name: fmt.Sprint("target", i), Pool: "p", DataCentre: fmt.Sprint("dc", i%23),
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), WarmCapacity: 8, ColdCapacity: 1,
		})
	}
	return c
}

// forSizes runs a benchmark on a state with a document of each size.
func forSizes(b *testing.B, f func(b *testing.B, s *State)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d/targets=%d", size.workspaces, size.targets), func(b *testing.B) {
			s := New()
			raw, err := (&Command{Submit: &Submit{Submission: api.Submission{ChangeID: "doc", Config: largeConfig(size.workspaces, size.targets)}}}).Encode()
			if err != nil {
				b.Fatal(err)
			}
			s.Apply(raw)
			b.ReportAllocs()
			f(b, s)
		})
	}
}

// BenchmarkApplyDocument measures the submission of a whole document.
func BenchmarkApplyDocument(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State) {
		sub := Submit{Submission: api.Submission{Config: s.config}}
		for b.Loop() {
			b.StopTimer()
			sub.ChangeID, sub.BaseRevision = fmt.Sprint("c", s.revision), s.revision
			raw, _ := (&Command{Submit: &sub}).Encode()
			b.StartTimer()
			if r := s.Apply(raw); r.Submit.Revision == 0 {
				b.Fatal(r.Submit)
			}
		}
	})
}

// BenchmarkApplyOut measures a change that takes one data centre out of service or back.
func BenchmarkApplyOut(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State) {
		for b.Loop() {
			sub := Submit{Submission: api.Submission{ChangeID: fmt.Sprint("c", s.revision), BaseRevision: s.revision, DataCentre: "dc1", Out: s.revision%2 == 0}}
			raw, _ := (&Command{Submit: &sub}).Encode()
			if r := s.Apply(raw); r.Submit.Revision == 0 {
				b.Fatal(r.Submit)
			}
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State) {
		for b.Loop() {
			raw, err := s.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(raw)), "B/snapshot")
		}
	})
}

// BenchmarkSnapshotClaims measures a snapshot with the maximum number of claims and the
// maximum size of bodies.
func BenchmarkSnapshotClaims(b *testing.B) {
	s := New()
	body := make([]byte, maxOutcomeBytes)
	for i := range maxClaims {
		key := api.ClaimKey{Workspace: "workspace", Pool: "pool", Key: fmt.Sprint("idempotency-key-", i)}
		s.claims.claim(&Claim{key, "h"}, 1)
		s.claims.settle(&Settle{key, "h", &api.ClaimOutcome{Status: 200, Body: body}})
	}
	b.ReportAllocs()
	for b.Loop() {
		raw, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(raw)), "B/snapshot")
	}
}

func BenchmarkRestore(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State) {
		raw, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if _, err := Restore(raw); err != nil {
				b.Fatal(err)
			}
		}
	})
}
