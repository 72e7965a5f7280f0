package main

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

// Guards against a committed config.json that differs from the program's output.
func TestCommittedDocument(t *testing.T) {
	is := is.New(t)
	var printed bytes.Buffer
	is.NoErr(fleet().Print(&printed))
	committed, err := os.ReadFile("config.json")
	is.NoErr(err)
	is.Equal(printed.String(), string(committed))
}
