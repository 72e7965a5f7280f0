package forward

import (
	"context"
	"syscall"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
)

// checkCrash finds out whether a target that has broken off a request has crashed: then it accepts no
// connection. The result is reported to the placement. A target that has only broken the connection
// accepts one, which is kept for later requests.
func (a *attempt) checkCrash() {
	f := a.call.fwd
	target, request, fingerprint := a.placement.Target(), a.call.req.ID, a.call.identity().Fingerprint()
	f.checks.Go(func() {
		_, err, _ := f.crashChecks.Do(target.Address, func() (any, error) {
			conn, err := f.conns.Dial(context.Background(), target.Address)
			if err != nil {
				return nil, err
			}
			f.conns.Put(conn)
			return nil, nil
		})
		crashed := errors.Is(err, syscall.ECONNREFUSED)
		f.log.Info("target checked after a failure", "step", "crash", "request", request, "target", target.ID,
			"fingerprint", fingerprint.String(), "crashed", crashed, "error", err)
		if crashed {
			f.stats.crashes.Inc()
			a.placement.ReportCrash(fingerprint)
		}
	})
}

// identity returns the identity of the request, which is computed once for all attempts.
func (c *call) identity() *api.RequestIdentity {
	if c.requestIdentity == nil {
		h := c.req.Header
		c.requestIdentity = api.NewRequestIdentity(c.req.Workspace, h.Method(), h.Host(), h.RequestURI(), c.req.Body)
	}
	return c.requestIdentity
}
