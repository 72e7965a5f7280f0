package main

import (
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/explain"
)

// losses implements the command "losses": it counts, from log files, which attempts of callers
// were not served within their latency objective, by cause and group.
func (t *tool) losses(args []string) error {
	asJSON, by, interval := t.json, string(explain.ByTime), 2*time.Second
	files, err := t.subflags("losses", args, 0, maxLogFiles, func(fs *flag.FlagSet) {
		fs.BoolVar(&asJSON, "json", t.json, "print JSON")
		fs.StringVar(&by, "by", by, "group by `workspace, kind or time`")
		fs.DurationVar(&interval, "interval", interval, "`length` of a group by time, at least 1s")
	})
	if err != nil {
		return err
	}
	switch explain.Grouping(by) {
	case explain.ByWorkspace, explain.ByKind, explain.ByTime:
	default:
		return usageError("-by %s: want workspace, kind or time", by)
	}
	if interval < time.Second {
		return usageError("-interval %s: want at least 1s", interval)
	}
	r := explain.NewLossReader(explain.Grouping(by), interval)
	if len(files) == 0 {
		err = r.Read(t.in)
	}
	for _, name := range files {
		if err := readLogFile(r, name); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	result := r.Losses()
	if asJSON {
		return t.printJSON(result)
	}
	t.printLosses(by, result)
	if result.Total.Count == 0 {
		return errors.New("no attempt of a caller in the input")
	}
	return nil
}

// printLosses prints a row for each group and a column for each cause that occurs.
func (t *tool) printLosses(by string, l explain.Losses) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	var causes []explain.Cause
	header := []string{by, "attempts", "in time"}
	for _, c := range explain.Causes {
		if l.Total.Lost[c] > 0 {
			causes = append(causes, c)
			header = append(header, string(c))
		}
	}
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, g := range append(l.Groups, l.Total) {
		fmt.Fprintf(w, "%s\t%d\t%d", orDash(g.Name), g.Count, g.InTime)
		for _, c := range causes {
			fmt.Fprintf(w, "\t%d", g.Lost[c])
		}
		fmt.Fprintln(w)
	}
}
