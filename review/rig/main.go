// Command rig plays the cases of the review. It starts nutmegd as separate processes on
// loopback addresses, with stand-ins of clients, servers, operator and platform, and checks
// one rule by what these see.
//
//	rig CASE RECORD
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 in
// the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario plays a case. An error means that it could not run.
type scenario func(rec *record, trouble bool) error

var scenarios = map[string]scenario{}

// longest is after how long a case is given up.
const longest = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption %v", os.Args[1], trouble)
	done := make(chan error, 1)
	go func() { done <- scenarios[os.Args[1]](rec, trouble) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-done:
	case <-time.After(longest):
		err = fmt.Errorf("not done after %v", longest)
	case <-stop:
		err = fmt.Errorf("stopped")
	}
	if current != nil {
		current.stop()
	}
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	if len(rec.broken) > 0 {
		rec.printf("the rule was broken, %d times", len(rec.broken))
		fmt.Printf("broken, %d times; the first: %s\n", len(rec.broken), rec.broken[0])
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("held")
	return 0
}

// current is the deployment whose processes are ended with the case.
var current *deployment
