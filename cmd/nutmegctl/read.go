package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/adminapi"
	"nutmegrouter/internal/kernel"
)

func (t *tool) printJSON(v any) error {
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (t *tool) show(args []string) error {
	if _, err := t.subflags("show", args, 0, 0, nil); err != nil {
		return err
	}
	ctx, cancel := t.context()
	defer cancel()
	view, err := t.client.View(ctx)
	if err != nil {
		return err
	}
	if t.json {
		return t.printJSON(view)
	}
	fmt.Fprintf(t.out, "// revision %d\n", view.Revision)
	for name, out := range view.DataCentresOut {
		if out {
			fmt.Fprintf(t.out, "// data centre %s is out\n", name)
		}
	}
	if view.Config == nil {
		return nil
	}
	text, err := fleetconfig.Canonical(view.Config)
	if err != nil {
		return err
	}
	_, err = t.out.Write(text)
	return err
}

func (t *tool) history(args []string) error {
	limit := 20
	if _, err := t.subflags("history", args, 0, 0, func(fs *flag.FlagSet) {
		fs.IntVar(&limit, "limit", limit, "`number` of changes, 1 to 1000")
	}); err != nil {
		return err
	}
	ctx, cancel := t.context()
	defer cancel()
	changes, err := t.client.History(ctx, limit)
	if err != nil {
		return err
	}
	if t.json {
		return t.printJSON(changes)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tTIME\tCHANGE\tAUTHOR\tSUMMARY")
	for _, h := range changes {
		at := time.UnixMilli(h.UnixMs).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", h.Revision, at, h.ChangeID, h.Author, h.Summary)
	}
	return w.Flush()
}

// instanceStatus is the status of the instance at an address, or the error of the call.
type instanceStatus struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *adminapi.Status `json:"status,omitempty"`
}

func (t *tool) status(args []string) error {
	if _, err := t.subflags("status", args, 0, 0, nil); err != nil {
		return err
	}
	statuses := t.statusOfAll()
	if len(statuses) == 0 {
		return usageError("no address given; set -admin or NUTMEG_ADMIN")
	}
	answered := false
	for _, s := range statuses {
		answered = answered || s.Status != nil
	}
	if err := t.printStatus(statuses); err != nil {
		return err
	}
	if !answered {
		return fmt.Errorf("no instance answered")
	}
	return nil
}

// statusOfAll queries every address separately, because the instances of a partitioned
// or failing fleet report different states.
func (t *tool) statusOfAll() []instanceStatus {
	ctx, cancel := t.context()
	defer cancel()
	var out []instanceStatus
	for _, addr := range t.client.Addresses {
		client := &adminapi.Client{Addresses: []string{addr}, Timeout: 2 * time.Second}
		s, err := client.Status(ctx)
		if err != nil {
			out = append(out, instanceStatus{Address: addr, Error: err.Error()})
			continue
		}
		out = append(out, instanceStatus{Address: addr, Status: &s})
	}
	return out
}

func (t *tool) printStatus(statuses []instanceStatus) error {
	if t.json {
		return t.printJSON(statuses)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tREADY\tREVISION\tACCESS\tCONTROL\tOWNS\tUNREACHABLE")
	for _, s := range statuses {
		if s.Status == nil {
			fmt.Fprintf(w, "%s\t-\tno: %s\t-\t-\t-\t-\t-\n", s.Address, s.Error)
			continue
		}
		fmt.Fprintln(w, statusLine(*s.Status))
	}
	return w.Flush()
}

// statusLine formats a status as a tab-separated row of the table.
func statusLine(s adminapi.Status) string {
	ready := "yes"
	if !s.Ready {
		ready = "no: " + s.NotReady
	}
	var owns, unreachable []string
	for _, p := range s.Pools {
		if p.Owner == s.Instance {
			owns = append(owns, fmt.Sprintf("%s@%d", p.Pool, p.Epoch))
		}
	}
	for _, p := range s.Peers {
		if !p.Reachable {
			unreachable = append(unreachable, p.Instance)
		}
	}
	return strings.Join([]string{
		s.Instance, s.DataCentre, ready, fmt.Sprint(s.Revision), orDash(string(s.Access)), s.Control.Role,
		orDash(strings.Join(owns, " ")), orDash(strings.Join(unreachable, " ")),
	}, "\t")
}

// orDash returns s, or "-" as the mark of an empty column.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (t *tool) timeline(args []string) error {
	var f adminapi.Filter
	var since time.Duration
	if _, err := t.subflags("timeline", args, 0, 0, func(fs *flag.FlagSet) {
		fs.DurationVar(&since, "since", 0, "only events younger than this `duration`")
		fs.StringVar(&f.Kind, "kind", "", "only events of this kind")
		fs.StringVar(&f.Workspace, "workspace", "", "only events of this workspace")
		fs.StringVar(&f.Target, "target", "", "only events of this target")
		fs.StringVar(&f.Request, "request", "", "only events of this request")
	}); err != nil {
		return err
	}
	if since > 0 {
		f.SinceMs = time.Now().Add(-since).UnixMilli()
	}
	ctx, cancel := t.context()
	defer cancel()
	merged, err := t.client.Events(ctx, f)
	if err != nil {
		return err
	}
	if t.json {
		return t.printJSON(merged)
	}
	for _, e := range merged.Events {
		fmt.Fprintln(t.out, eventLine(e))
	}
	for name, n := range merged.Dropped {
		fmt.Fprintf(t.out, "# %s dropped %d older events\n", name, n)
	}
	for _, name := range merged.Missing {
		fmt.Fprintf(t.out, "# %s did not answer\n", name)
	}
	return nil
}

// eventLine formats an event as one line. Empty and zero fields are left out.
func eventLine(e kernel.Event) string {
	at := time.UnixMilli(e.Stamp.UnixMs).UTC().Format("15:04:05.000")
	var b strings.Builder
	fmt.Fprintf(&b, "%s+%d %s %s/%s", at, e.Stamp.Count, e.Instance, e.Kind, e.Step)
	field := func(name, value string) {
		if value != "" && value != "0" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	field("peer", e.Peer)
	field("pool", e.Pool)
	field("epoch", fmt.Sprint(e.Epoch))
	field("revision", fmt.Sprint(e.Revision))
	field("workspace", e.Workspace)
	field("target", e.Target)
	field("data_centre", e.DataCentre)
	field("request", e.RequestID)
	if e.Detail != "" {
		fmt.Fprintf(&b, " %q", e.Detail)
	}
	return b.String()
}
