package fleetrun

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"nutmegrouter/internal/adminapi"
)

const meshBytesPrefix = "nutmeg_mesh_sent_bytes_total{"

// Status fetches the status of an instance from its admin address, within 1 s.
func (f *Fleet) Status(ctx context.Context, name string) (adminapi.Status, error) {
	r, err := f.Instance(name)
	if err != nil {
		return adminapi.Status{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return (&adminapi.Client{Addresses: []string{r.Admin}}).Status(ctx)
}

// Owner waits until the status of any instance names a running instance as the
// owner of the pool and returns that owner's name. It fails if the context ends.
func (f *Fleet) Owner(ctx context.Context, pool string) (owner string, err error) {
	err = f.poll(ctx, "owner of "+pool, func() error {
		for _, r := range f.InstanceList {
			s, err := f.Status(ctx, r.Instance)
			if err != nil {
				continue
			}
			for _, p := range s.Pools {
				if p.Pool == pool && f.Running(p.Owner) {
					owner = p.Owner
					return nil
				}
			}
		}
		return errors.New("no instance reports a running owner")
	})
	return owner, err
}

// Traffic is the number of bytes sent to other instances by mesh method.
type Traffic map[string]float64

// Total returns the bytes of all methods.
func (t Traffic) Total() (sum float64) {
	for _, v := range t {
		sum += v
	}
	return sum
}

// MeshBytes returns the bytes that each running instance has sent to others since
// its start, by instance name.
func (f *Fleet) MeshBytes(ctx context.Context) (map[string]Traffic, error) {
	out := map[string]Traffic{}
	err := f.scrapeEach(ctx, func(name, text string) { out[name] = sumByMethod(text, meshBytesPrefix) })
	return out, err
}

// httpGet returns the body of a GET response, whatever its status.
func httpGet(ctx context.Context, url string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", errors.Wrap(err, "get")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "get")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), errors.Wrap(err, "get")
}

// sumByMethod sums the values of the metric lines that start with a prefix, grouped
// by their label "method".
func sumByMethod(text, prefix string) Traffic {
	out := Traffic{}
	for _, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(line, prefix) {
			continue
		}
		_, rest, _ := strings.Cut(line, `method="`)
		method, _, _ := strings.Cut(rest, `"`)
		if v, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64); err == nil {
			out[method] += v
		}
	}
	return out
}
