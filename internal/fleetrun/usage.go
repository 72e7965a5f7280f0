package fleetrun

import (
	"context"
	"strconv"
	"strings"
)

// Usage is the resource usage of one instance.
type Usage struct {
	CPU    float64 // processor seconds since the start
	Heap   float64 // heap bytes in use now
	Memory float64 // resident bytes now
	Sent   float64 // bytes sent to other instances since the start
}

// Usages returns the usage of each running instance, by name.
func (f *Fleet) Usages(ctx context.Context) (map[string]Usage, error) {
	out := map[string]Usage{}
	err := f.scrapeEach(ctx, func(name, text string) {
		out[name] = Usage{
			CPU:    metricValue(text, "process_cpu_seconds_total"),
			Heap:   metricValue(text, "go_memstats_heap_inuse_bytes"),
			Memory: metricValue(text, "process_resident_memory_bytes"),
			Sent:   sumByMethod(text, meshBytesPrefix).Total(),
		}
	})
	return out, err
}

// scrapeEach calls handle with the name and the metrics text of each running
// instance. It stops at the first that cannot be read.
func (f *Fleet) scrapeEach(ctx context.Context, handle func(name, text string)) error {
	for _, r := range f.InstanceList {
		if !f.Running(r.Instance) {
			continue
		}
		text, err := httpGet(ctx, "http://"+r.Admin+"/metrics")
		if err != nil {
			return err
		}
		handle(r.Instance, text)
	}
	return nil
}

// metricValue returns the value of a metric without labels, or 0 if it is missing.
func metricValue(text, name string) float64 {
	for _, line := range strings.Split(text, "\n") {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			return v
		}
	}
	return 0
}
