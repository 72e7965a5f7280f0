package fleetrun

import (
	"context"
	"strconv"
	"strings"
)

// Usage is what one router has used since its start.
type Usage struct {
	CPU    float64 // processor seconds
	Heap   float64 // bytes in use on the heap, now
	Memory float64 // resident bytes, now
	Sent   float64 // bytes sent to other routers
}

// Usages returns the usage of each running router.
func (f *Fleet) Usages(ctx context.Context) (map[string]Usage, error) {
	out := map[string]Usage{}
	err := f.eachMetrics(ctx, func(name, text string) {
		out[name] = Usage{
			CPU:    value(text, "process_cpu_seconds_total"),
			Heap:   value(text, "go_memstats_heap_inuse_bytes"),
			Memory: value(text, "process_resident_memory_bytes"),
			Sent:   sumByMethod(text, sentBytesPrefix).Total(),
		}
	})
	return out, err
}

// eachMetrics reads the metrics of each running router.
func (f *Fleet) eachMetrics(ctx context.Context, use func(name, text string)) error {
	for _, r := range f.Routers {
		if !f.Running(r.Instance) {
			continue
		}
		text, err := get(ctx, "http://"+r.Admin+"/metrics")
		if err != nil {
			return err
		}
		use(r.Instance, text)
	}
	return nil
}

// value returns the value of the metric without labels, or 0.
func value(text, name string) float64 {
	for _, line := range strings.Split(text, "\n") {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			return v
		}
	}
	return 0
}
