package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/explain"
)

// explain implements the command "explain": it prints the log lines of a request in
// order of time, its outcome, and the state that the instances acted on.
func (t *tool) explain(args []string) error {
	asJSON := t.json
	positional, err := t.subflags("explain", args, 1, maxLogFiles, func(fs *flag.FlagSet) {
		fs.BoolVar(&asJSON, "json", t.json, "print JSON")
	})
	if err != nil {
		return err
	}
	r := explain.NewReader(positional[0])
	for _, name := range positional[1:] {
		if err := readLogFile(r, name); err != nil {
			return err
		}
	}
	if len(positional) == 1 {
		if err := r.Read(t.in); err != nil {
			return err
		}
	}
	trace := r.Trace()
	if asJSON {
		return t.printJSON(trace)
	}
	t.printTrace(trace)
	if len(trace.Lines) == 0 {
		return errors.Errorf("no line of request %s in %d lines of %d instances", trace.Request, trace.LinesRead, len(trace.Instances))
	}
	return nil
}

// maxLogFiles allows several log files for each instance of the largest fleet.
const maxLogFiles = 10000

// logReader reads the log lines of one source.
type logReader interface{ Read(io.Reader) error }

func readLogFile(r logReader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.WithMessage(err, "open log")
	}
	defer f.Close()
	return errors.WithMessage(r.Read(f), name)
}

func (t *tool) printTrace(trace explain.Trace) {
	if len(trace.State) > 0 {
		fmt.Fprintln(t.out, "last known state when the request arrived:")
	}
	for _, b := range trace.State {
		fmt.Fprintf(t.out, "  %9s before  %s  %s %s\n", b.Age.Round(time.Millisecond), b.Instance, b.Message, formatFields(b.Line))
	}
	if len(trace.Lines) > 0 {
		fmt.Fprintf(t.out, "request %s, from %s:\n", trace.Request, trace.Lines[0].Time.Format(time.RFC3339Nano))
	}
	for _, l := range trace.Lines {
		fmt.Fprintf(t.out, "  %+9s  %s  %s %s\n", l.Time.Sub(trace.Lines[0].Time).Round(time.Millisecond), l.Instance, l.Message, formatFields(l))
	}
	switch {
	case trace.Outcome != nil:
		fmt.Fprintf(t.out, "outcome: %s %s\n", trace.Outcome.Message, formatFields(*trace.Outcome))
	case len(trace.Lines) > 0:
		fmt.Fprintln(t.out, "outcome: unknown; no log line ends the request, the process may have stopped")
	}
	fmt.Fprintf(t.out, "read %d lines of %d instances; %d were not log lines\n", trace.LinesRead, len(trace.Instances), trace.Unreadable)
	if len(trace.Missing) > 0 {
		fmt.Fprintf(t.out, "instances named in these lines but missing from the input: %s\n", strings.Join(trace.Missing, ", "))
	}
}

// formatFields formats the fields of a log line as "name=value" in order of name.
func formatFields(l explain.Line) string {
	var pairs []string
	for name, v := range l.Fields {
		if name != "request" && name != "plugin" {
			pairs = append(pairs, fmt.Sprintf("%s=%v", name, v))
		}
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}
