//go:build review

// Command rig3 runs the cases of the third review that are scripts: rig3 CASE RECORD. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(trouble bool, rec *record) (held bool, err error){"prompts": prompts}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{file: file}
	held, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0", rec)
	status := 0
	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v\n", err)
		status = 2
	case !held:
		rec.printf("the rule was broken\n")
		status = 1
	default:
		rec.printf("the rule held\n")
	}
	_ = file.Close() // the lines have been written
	os.Exit(status)
}
