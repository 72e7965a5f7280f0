//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	noSwitch = "0"
)

// scenario plays one case and reports whether its rule was broken. trouble is false for a
// play without the disruption.
type scenario func(rec *record, trouble bool) (isBroken bool, err error)

var scenarios = map[string]scenario{
	"second-answers": secondAnswers,
	"sessions":       sessions,
	"last-tenant":    lastTenant,
	"patience":       patience,
}

func main() {
	out := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	flag.Parse()
	play := scenarios[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 [-record FILE] CASE")
		os.Exit(notRun)
	}
	rec := newRecord()
	isBroken, err := play(rec, os.Getenv("TROUBLE") != noSwitch)
	if werr := rec.write(*out); err == nil {
		err = werr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(notRun)
	case isBroken:
		os.Exit(broken)
	}
	os.Exit(held)
}
