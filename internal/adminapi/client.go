package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/responsehead"
)

// Client is a client of the HTTP interface for operators. It calls one instance and
// retries on the next address only after a connection failure, a timeout, a malformed
// response or status 503. Changes carry an id, so retrying them is safe. An error
// response is returned as a *StatusError. It is not safe for concurrent use.
type Client struct {
	// Addresses are the IP:port of the instances, in the order of preference.
	Addresses []string
	// Timeout bounds one attempt; 0 = 2 s, and 4 s for a change, which waits for
	// the control log. It must be short compared with the time limit of the whole
	// command, because a frozen instance accepts connections but never responds.
	Timeout time.Duration

	http fasthttp.Client
	// preferred is the index in Addresses of the first one to try: the one that last
	// responded.
	preferred int
}

// Default timeouts of one attempt.
const (
	readTimeout   = 2 * time.Second
	changeTimeout = 4 * time.Second
)

// StatusError is an error response of an instance.
type StatusError struct {
	Code int    // HTTP status
	Peer string // IP:port of the instance
	Body Error
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: %s (peer %s, status %d)", e.Body.Step, e.Body.Message, e.Peer, e.Code)
}

// Status returns the status of the first instance that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.get(ctx, PathStatus, nil, &out)
}

// View returns the view in force on the first instance that responds.
func (c *Client) View(ctx context.Context) (api.View, error) {
	var out api.View
	return out, c.get(ctx, PathView, nil, &out)
}

// History returns up to limit (1 to 1000) of the newest accepted changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]api.HistoryEntry, error) {
	var out []api.HistoryEntry
	return out, c.get(ctx, PathHistory, url.Values{"limit": {strconv.Itoa(limit)}}, &out)
}

// InForce reports whether a revision is in force; see type InForce.
func (c *Client) InForce(ctx context.Context, revision uint64) (InForce, error) {
	var out InForce
	return out, c.get(ctx, PathInForce, url.Values{"revision": {strconv.FormatUint(revision, 10)}}, &out)
}

// Events returns the selected events of all instances in causal order.
func (c *Client) Events(ctx context.Context, f Filter) (Timeline, error) {
	var out Timeline
	return out, c.get(ctx, PathEvents, f.Query(), &out)
}

// Metrics returns the metrics of the first instance that responds, in the Prometheus format.
func (c *Client) Metrics(ctx context.Context) (string, error) {
	var out string
	return out, c.get(ctx, PathMetrics, nil, &out)
}

// Submit proposes a change. After an error the outcome is unknown; the same
// submission may be sent again.
func (c *Client) Submit(ctx context.Context, s api.Submission) (api.SubmitResult, error) {
	var out api.SubmitResult
	raw, err := json.Marshal(s)
	if err != nil {
		return out, errors.Wrap(err, "encode change")
	}
	return out, c.call(ctx, fasthttp.MethodPost, PathChanges, raw, &out)
}

// Query encodes the filter as URL query parameters.
func (f Filter) Query() url.Values {
	q := url.Values{}
	set := func(k, v string) {
		if v != "" && v != "0" {
			q.Set(k, v)
		}
	}
	set("since_ms", strconv.FormatInt(f.SinceMs, 10))
	set("until_ms", strconv.FormatInt(f.UntilMs, 10))
	set("kind", f.Kind)
	set("workspace", f.Workspace)
	set("target", f.Target)
	set("request", f.Request)
	return q
}

func (c *Client) get(ctx context.Context, path string, q url.Values, out any) error {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	return c.call(ctx, fasthttp.MethodGet, path, nil, out)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	lastErr := errors.New("no address given")
	for range c.Addresses {
		if ctx.Err() != nil {
			return errors.WithMessage(ctx.Err(), lastErr.Error())
		}
		err := c.attempt(ctx, c.Addresses[c.preferred], method, path, body, out)
		if err == nil {
			return nil
		}
		lastErr = err
		c.preferred = (c.preferred + 1) % len(c.Addresses)
		var statusErr *StatusError
		if errors.As(err, &statusErr) && statusErr.Code != fasthttp.StatusServiceUnavailable {
			return err
		}
	}
	return lastErr
}

func (c *Client) attempt(ctx context.Context, addr, method, path string, body []byte, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.http.DialTimeout = responsehead.DialTimeout // set here, because callers create a Client without a constructor
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.SetBody(body)
	if err := c.http.DoDeadline(req, resp, c.deadline(ctx, method)); err != nil {
		return errors.Wrapf(err, "%s %s (peer %s)", method, path, addr)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		statusErr := &StatusError{Code: resp.StatusCode(), Peer: addr}
		if json.Unmarshal(resp.Body(), &statusErr.Body) != nil {
			statusErr.Body = Error{Step: method + " " + path, Message: "answer without a readable error"}
		}
		return statusErr
	}
	if text, ok := out.(*string); ok {
		*text = string(resp.Body())
		return nil
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), out), "decode %s (peer %s)", path, addr)
}

func (c *Client) deadline(ctx context.Context, method string) time.Time {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = readTimeout
		if method == fasthttp.MethodPost {
			timeout = changeTimeout
		}
	}
	end := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		return d
	}
	return end
}
