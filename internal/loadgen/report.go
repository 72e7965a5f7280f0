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

// Row holds the request counts and the service of one workspace.
type Row struct {
	Workspace string
	Sent      int
	Whole     int
	// Refused counts requests refused as "not run". FalselyRefused counts those of
	// them that a target ran, although each attempt was refused as "not run" or
	// never left the client.
	Refused, FalselyRefused int
	Unknown                 int
	Broken                  int
	Lost                    int
	Wrong                   int
	// Doubled counts requests with an idempotency key that ran more than once.
	Doubled int
	Skipped int // not sent by the generator
	// Service is the cost of whole responses by pool, Offered that of all sent
	// requests, both in cost units (see Job.Cost).
	Service, Offered map[string]float64
	// ServiceShare is the fraction of the service in the pool with the most service
	// that this workspace received; FairShare is its max-min fair share as a fraction.
	ServiceShare, FairShare float64
}

// Report is the evaluation of a run.
type Report struct {
	Rows  []Row // by workspace index
	Total Row
	// FirstByte, EventGap and Latency are histograms in µs by kind of request, for
	// whole responses: the time from the planned arrival to the first byte, the time
	// between two events, and the time from the planned arrival to the end.
	FirstByte, EventGap, Latency map[string]*hdrhistogram.Histogram
	// Codes counts requests without a whole response by error text.
	Codes map[string]int
}

// Cost returns the true cost of a job in cost units. One unit is a response token
// or ten prompt tokens for engines, and 1 ms of service time for plain services.
func (j *Job) Cost() float64 {
	if !j.Kind.Engine() {
		return float64(j.Size)
	}
	return float64(j.Size) + float64(standin.PromptTokens(j.Body()))/10
}

const (
	histMinMicros         = 1
	histMaxMicros         = 10 * 60 * 1000 * 1000 // 10 min
	histSignificantDigits = 3
	maxCodeBytes          = 240 // longer error texts are cut in the report
)

func newHist() *hdrhistogram.Histogram {
	return hdrhistogram.New(histMinMicros, histMaxMicros, histSignificantDigits)
}

// Report evaluates the run. Evidence may be nil; doubled and falsely refused
// requests are then not counted.
func (r *Run) Report(ev *Evidence) *Report {
	rep := &Report{FirstByte: map[string]*hdrhistogram.Histogram{}, EventGap: map[string]*hdrhistogram.Histogram{},
		Latency: map[string]*hdrhistogram.Histogram{}, Codes: map[string]int{}}
	for _, w := range r.Plan.Workspaces {
		rep.Rows = append(rep.Rows, Row{Workspace: w.Name, Service: map[string]float64{}, Offered: map[string]float64{}})
	}
	for i := range r.Records {
		rec := &r.Records[i]
		rep.Rows[rec.Job.Workspace].addRecord(rec, ev)
		if !rec.Skipped {
			rep.addLatencies(rec)
		}
	}
	rep.fillShares(r.Plan)
	rep.Total = Row{Workspace: "total"}
	for _, row := range rep.Rows {
		rep.Total.merge(row)
	}
	return rep
}

// addRecord counts one request; ev may be nil.
func (row *Row) addRecord(rec *Record, ev *Evidence) {
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

// merge adds the counts and shares of another row.
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
	row.ServiceShare += o.ServiceShare
	row.FairShare += o.FairShare
}

// addLatencies adds a sent request to the histograms or, without a whole response,
// to the error counts.
func (rep *Report) addLatencies(rec *Record) {
	name := rec.Job.Kind.Name
	if rep.FirstByte[name] == nil {
		rep.FirstByte[name], rep.EventGap[name], rep.Latency[name] = newHist(), newHist(), newHist()
	}
	if rec.Verdict != Whole {
		rep.Codes[rec.Code[:min(len(rec.Code), maxCodeBytes)]]++
		return
	}
	recordDuration(rep.FirstByte[name], rec.FirstByteLatency)
	recordDuration(rep.Latency[name], rec.Latency)
	for _, g := range rec.gaps {
		recordDuration(rep.EventGap[name], g)
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(histMinMicros, d.Microseconds()), histMaxMicros)) // clamped, so never out of range
}

// Clean reports whether every sent request got a whole response or a correct "not
// run" refusal, and no request with an idempotency key ran more than once.
func (rep *Report) Clean() bool {
	t := rep.Total
	return t.Lost+t.Broken+t.Wrong+t.Unknown+t.Doubled+t.FalselyRefused == 0
}

// Write prints a table of the workspaces, the quantiles of the histograms in ms and
// the error counts. Write errors are ignored.
func (rep *Report) Write(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "workspace\tsent\twhole\trefused\tfalse\tunknown\tbroken\tlost\twrong\tdoubled\tskipped\tshare\tfair\t")
	for _, r := range append(append([]Row(nil), rep.Rows...), rep.Total) {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f%%\t\n", r.Workspace, r.Sent, r.Whole, r.Refused,
			r.FalselyRefused, r.Unknown, r.Broken, r.Lost, r.Wrong, r.Doubled, r.Skipped, 100*r.ServiceShare, 100*r.FairShare)
	}
	_ = tw.Flush()
	fmt.Fprintln(w)
	tw = tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "ms\tcount\tp50\tp95\tp99\tmax\t")
	for _, k := range sortedKeys(rep.FirstByte) {
		writeHist(tw, k+" first byte", rep.FirstByte[k])
		writeHist(tw, k+" token gap", rep.EventGap[k])
		writeHist(tw, k+" whole", rep.Latency[k])
	}
	_ = tw.Flush()
	for _, c := range sortedKeys(rep.Codes) {
		fmt.Fprintf(w, "%6d  %q\n", rep.Codes[c], c)
	}
}

func writeHist(w io.Writer, name string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	quantileMs := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", name, h.TotalCount(), quantileMs(50), quantileMs(95), quantileMs(99), float64(h.Max())/1000)
}

func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
