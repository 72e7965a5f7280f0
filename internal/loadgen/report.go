package loadgen

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nutmegrouter/internal/standin"
)

// Row counts the requests of one workspace.
type Row struct {
	Workspace string
	Sent      int
	Whole     int
	// Refused counts rejections that say "not run"; FalselyRefused those of
	// them that a target did run.
	Refused, FalselyRefused int
	Unknown                 int
	Broken                  int
	Lost                    int
	Wrong                   int
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int
	Skipped int
	// Service is the completed cost in cost units by pool; Offered the sent one.
	Service, Offered map[string]float64
	// Share and Fair are the parts of all service in the dominant pool.
	Share, Fair float64
}

// Report is the result of a run.
type Report struct {
	Rows  []Row
	Total Row
	// First and Gap are histograms in microseconds by kind of request.
	First, Gap, Took map[string]*hdrhistogram.Histogram
	// Codes counts the codes and errors of requests that were not whole.
	Codes map[string]int
}

// Cost returns the true cost of a job: tokens and a tenth of the prompt tokens
// for engines, ms of service time for plain services.
func (j *Job) Cost() float64 {
	if !j.Kind.Engine() {
		return float64(j.Size)
	}
	return float64(j.Size) + float64(standin.PromptTokens(j.Body()))/10
}

const (
	histMin    = 1
	histMax    = 10 * 60 * 1000 * 1000 // µs
	histDigits = 3
	maxCode    = 240 // characters of an error kept in the report
)

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(histMin, histMax, histDigits) }

// Report evaluates the run. Without evidence doubled and falsely refused
// requests cannot be counted.
func (r *Run) Report(ev *Evidence) *Report {
	out := &Report{First: map[string]*hdrhistogram.Histogram{}, Gap: map[string]*hdrhistogram.Histogram{},
		Took: map[string]*hdrhistogram.Histogram{}, Codes: map[string]int{}}
	for _, w := range r.Plan.Workspaces {
		out.Rows = append(out.Rows, Row{Workspace: w.Name, Service: map[string]float64{}, Offered: map[string]float64{}})
	}
	for i := range r.Records {
		rec := &r.Records[i]
		out.Rows[rec.Job.Workspace].add(rec, ev)
		if !rec.Skipped {
			out.addTimes(rec)
		}
	}
	out.shares(r.Plan)
	out.Total = Row{Workspace: "total"}
	for _, row := range out.Rows {
		out.Total.merge(row)
	}
	return out
}

func (row *Row) add(rec *Record, ev *Evidence) {
	if rec.Skipped {
		row.Skipped++
		return
	}
	row.Sent++
	pool, cost := rec.Job.Kind.Pool, rec.Job.Cost()
	row.Offered[pool] += cost
	switch rec.Verdict {
	case Whole:
		row.Whole++
		row.Service[pool] += cost
	case Refused:
		row.Refused++
		if ev != nil && rec.AllNotRun && ev.Starts[rec.Job.Tag] > 0 {
			row.FalselyRefused++
		}
	case Unknown:
		row.Unknown++
	case Broken:
		row.Broken++
	case Lost:
		row.Lost++
	case Wrong:
		row.Wrong++
	}
	if ev != nil && rec.Job.Kind.Keyed && ev.Starts[rec.Job.Tag] > 1 {
		row.Doubled++
	}
}

func (row *Row) merge(o Row) {
	row.Sent += o.Sent
	row.Whole += o.Whole
	row.Refused += o.Refused
	row.FalselyRefused += o.FalselyRefused
	row.Unknown += o.Unknown
	row.Broken += o.Broken
	row.Lost += o.Lost
	row.Wrong += o.Wrong
	row.Doubled += o.Doubled
	row.Skipped += o.Skipped
	row.Share += o.Share
	row.Fair += o.Fair
}

func (out *Report) addTimes(rec *Record) {
	name := rec.Job.Kind.Name
	if out.First[name] == nil {
		out.First[name], out.Gap[name], out.Took[name] = newHist(), newHist(), newHist()
	}
	if rec.Verdict != Whole {
		out.Codes[rec.Code[:min(len(rec.Code), maxCode)]]++
		return
	}
	record(out.First[name], rec.FirstToken)
	record(out.Took[name], rec.Took)
	for _, g := range rec.gaps {
		record(out.Gap[name], g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(histMin, d.Microseconds()), histMax)) // clamped, so never out of range
}

// Clean reports that nothing was lost, doubled, wrong, unexplained or refused
// with a false "not run".
func (out *Report) Clean() bool {
	t := out.Total
	return t.Lost+t.Broken+t.Wrong+t.Unknown+t.Doubled+t.FalselyRefused == 0
}

// Write prints the table of the workspaces and the histograms.
func (out *Report) Write(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "workspace\tsent\twhole\trefused\tfalse\tunknown\tbroken\tlost\twrong\tdoubled\tskipped\tshare\tfair\t")
	for _, r := range append(append([]Row(nil), out.Rows...), out.Total) {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f%%\t\n", r.Workspace, r.Sent, r.Whole, r.Refused,
			r.FalselyRefused, r.Unknown, r.Broken, r.Lost, r.Wrong, r.Doubled, r.Skipped, 100*r.Share, 100*r.Fair)
	}
	_ = tw.Flush()
	fmt.Fprintln(w)
	tw = tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "ms\tcount\tp50\tp95\tp99\tmax\t")
	for _, k := range sortedKeys(out.First) {
		writeHist(tw, k+" first byte", out.First[k])
		writeHist(tw, k+" token gap", out.Gap[k])
		writeHist(tw, k+" whole", out.Took[k])
	}
	_ = tw.Flush()
	for _, c := range sortedKeys(out.Codes) {
		fmt.Fprintf(w, "%6d  %q\n", out.Codes[c], c)
	}
}

func writeHist(w io.Writer, name string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", name, h.TotalCount(), q(50), q(95), q(99), float64(h.Max())/1000)
}

func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
