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
	story := r.Trace()
	if asJSON {
		return t.printJSON(story)
	}
	t.printStory(story)
	if len(story.Lines) == 0 {
		return errors.Errorf("no line of request %s in %d lines of %d instances", story.Request, story.LinesRead, len(story.Instances))
	}
	return nil
}

// maxLogFiles allows several log files for each instance of the largest fleet.
const maxLogFiles = 10000

func readLogFile(r *explain.Reader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.WithMessage(err, "open log")
	}
	defer f.Close()
	return errors.WithMessage(r.Read(f), name)
}

func (t *tool) printStory(story explain.Trace) {
	if len(story.State) > 0 {
		fmt.Fprintln(t.out, "last known state when the request arrived:")
	}
	for _, b := range story.State {
		fmt.Fprintf(t.out, "  %9s before  %s  %s %s\n", b.Age.Round(time.Millisecond), b.Instance, b.Message, formatFields(b.Line))
	}
	if len(story.Lines) > 0 {
		fmt.Fprintf(t.out, "request %s, from %s:\n", story.Request, story.Lines[0].Time.Format(time.RFC3339Nano))
	}
	for _, l := range story.Lines {
		fmt.Fprintf(t.out, "  %+9s  %s  %s %s\n", l.Time.Sub(story.Lines[0].Time).Round(time.Millisecond), l.Instance, l.Message, formatFields(l))
	}
	switch {
	case story.Outcome != nil:
		fmt.Fprintf(t.out, "outcome: %s %s\n", story.Outcome.Message, formatFields(*story.Outcome))
	case len(story.Lines) > 0:
		fmt.Fprintln(t.out, "outcome: unknown; no log line ends the request, the process may have stopped")
	}
	fmt.Fprintf(t.out, "read %d lines of %d instances; %d were not log lines\n", story.LinesRead, len(story.Instances), story.Unreadable)
	if len(story.Missing) > 0 {
		fmt.Fprintf(t.out, "instances named in these lines but missing from the input: %s\n", strings.Join(story.Missing, ", "))
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
