// Command nutmegctl is the operators' command-line tool.
package main

import (
	"fmt"
	_ "net" // links the C library's resolver
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "usage: nutmegctl COMMAND")
	os.Exit(2)
}
