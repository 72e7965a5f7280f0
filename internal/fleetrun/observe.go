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

const sentBytesPrefix = "nutmeg_mesh_sent_bytes_total{"

// Status asks one router for its status.
func (f *Fleet) Status(ctx context.Context, name string) (adminapi.Status, error) {
	r, err := f.Router(name)
	if err != nil {
		return adminapi.Status{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	return (&adminapi.Client{Addresses: []string{r.Admin}}).Status(ctx)
}

// Owner waits until a running router is known as the owner of a pool.
func (f *Fleet) Owner(ctx context.Context, pool string) (owner string, err error) {
	err = f.poll(ctx, "owner of "+pool, func() error {
		for _, r := range f.Routers {
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
		return errors.New("no router names one that runs")
	})
	return owner, err
}

// Traffic is the number of bytes sent to other routers by method.
type Traffic map[string]float64

// Total sums all methods.
func (t Traffic) Total() (sum float64) {
	for _, v := range t {
		sum += v
	}
	return sum
}

// MeshBytes returns what each running router has sent to others.
func (f *Fleet) MeshBytes(ctx context.Context) (map[string]Traffic, error) {
	out := map[string]Traffic{}
	err := f.eachMetrics(ctx, func(name, text string) { out[name] = sumByMethod(text, sentBytesPrefix) })
	return out, err
}

func get(ctx context.Context, url string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
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

// sumByMethod sums the values of the lines that begin with a prefix by their
// label "method".
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
