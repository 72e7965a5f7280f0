package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/explain"
)

// explain prints the story of a request from log files or standard input.
func (t *tool) explain(args []string) error {
	asJSON := t.json
	rest, err := t.subflags("explain", args, 1, maxLogFiles, func(fs *flag.FlagSet) {
		fs.BoolVar(&asJSON, "json", t.json, "print JSON")
	})
	if err != nil {
		return err
	}
	r := explain.NewReader(rest[0])
	for _, name := range rest[1:] {
		if err := readLog(r, name); err != nil {
			return err
		}
	}
	if len(rest) == 1 {
		if err := r.Read(t.in); err != nil {
			return err
		}
	}
	s := r.Story()
	if asJSON {
		return t.printJSON(s)
	}
	t.printStory(s)
	if len(s.Lines) == 0 {
		return errors.Errorf("no line of request %s in %d lines of %d instances", s.Request, s.Read, len(s.Instances))
	}
	return nil
}

// maxLogFiles is one file for each instance of the largest fleet, several times over.
const maxLogFiles = 10000

func readLog(r *explain.Reader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.WithMessage(err, "open log")
	}
	defer f.Close()
	return errors.WithMessage(r.Read(f), name)
}

func (t *tool) printStory(s explain.Story) {
	if len(s.Beliefs) > 0 {
		fmt.Fprintln(t.out, "believed when the request arrived:")
	}
	for _, b := range s.Beliefs {
		fmt.Fprintf(t.out, "  %9s before  %s  %s %s\n", b.Age.Round(time.Millisecond), b.Instance, b.Message, fields(b.Line))
	}
	if len(s.Lines) > 0 {
		fmt.Fprintf(t.out, "request %s, from %s:\n", s.Request, s.Lines[0].Time.Format(time.RFC3339Nano))
	}
	for _, l := range s.Lines {
		fmt.Fprintf(t.out, "  %+9s  %s  %s %s\n", l.Time.Sub(s.Lines[0].Time).Round(time.Millisecond), l.Instance, l.Message, fields(l))
	}
	switch {
	case s.Outcome != nil:
		fmt.Fprintf(t.out, "outcome: %s %s\n", s.Outcome.Message, fields(*s.Outcome))
	case len(s.Lines) > 0:
		fmt.Fprintln(t.out, "outcome: unknown; no line ends the request, the process may have stopped")
	}
	fmt.Fprintf(t.out, "read %d lines of %d instances; %d were no log lines\n", s.Read, len(s.Instances), s.Unreadable)
	if len(s.Missing) > 0 {
		fmt.Fprintf(t.out, "named by these lines but missing from the input: %s\n", strings.Join(s.Missing, ", "))
	}
}

// fields prints the inputs of a line in a stable order.
func fields(l explain.Line) string {
	var out []string
	for name, v := range l.Fields {
		if name != "request" && name != "plugin" {
			out = append(out, fmt.Sprintf("%s=%v", name, v))
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
