package wal

import (
	"fmt"
	"testing"

	"nutmegrouter/internal/consensus"
)

// BenchmarkSave measures appends of batches of entries, with one sync per batch.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			l, _, err := Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			next := uint64(1)
			for b.Loop() {
				if err := l.Save(nil, entries(next, next+uint64(n)-1, 1)); err != nil {
					b.Fatal(err)
				}
				next += uint64(n)
			}
		})
	}
}

// BenchmarkSaveSnapshot measures storing a snapshot of 2 MiB, the size of the largest
// planned configuration.
func BenchmarkSaveSnapshot(b *testing.B) {
	l, _, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	data := make([]byte, 2<<20)
	for b.Loop() {
		if err := l.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1, Data: data}, consensus.HardState{}, nil); err != nil {
			b.Fatal(err)
		}
	}
}
