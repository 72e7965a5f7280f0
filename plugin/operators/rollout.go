package operators

import (
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/targetconn"
)

// serveRollout starts a rollout or returns the state of a service's newest one. A fleet whose settings have no
// bounds for rollouts serves neither.
func (s *Server) serveRollout(ctx *fasthttp.RequestCtx, order api.Order) {
	switch {
	case s.kernel.Settings.Routes.Rollouts == nil:
		s.refuse(ctx, fasthttp.StatusNotFound, "the settings have no bounds for rollouts")
	case order.Kind == api.OrderStartRollout:
		s.startRollout(ctx)
	default:
		s.readRollout(ctx, order.Service)
	}
}

// startRollout submits the start of a rollout. It reads the view first: its revision is the base of the
// start, and its configuration must have the service.
func (s *Server) startRollout(ctx *fasthttp.RequestCtx) {
	change, err := s.dialect.ParseRolloutOrder(ctx.PostBody())
	if err != nil {
		s.refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	view, err := s.control.ReadView(callCtx)
	if err != nil {
		s.unavailable(ctx, err)
		return
	}
	table, err := view.ParseTable(s.dialect)
	switch {
	case err != nil || table == nil:
		s.unavailable(ctx, errors.Errorf("no configuration that can be read: %v", err))
		return
	case table.Services[change.Service] == nil && !isRepeat(view, change):
		s.refuse(ctx, fasthttp.StatusNotFound, "no such service")
		return
	case !targetconn.IsOpen(ctx.Conn()):
		s.unavailable(ctx, errors.New("the caller has disconnected"))
		return
	}
	id := kernel.NewID()
	result, err := s.control.Submit(callCtx, api.Submission{
		ChangeID: id, OnNewestRevision: true, BaseRevision: view.Revision, Rollout: &change,
	})
	switch {
	case err != nil:
		s.unavailable(ctx, err)
	case result.Error != "":
		s.refuse(ctx, fasthttp.StatusBadRequest, result.Error)
	case result.ConflictingChange != "":
		s.refuseConflict(ctx, view.Revision, result)
	default:
		s.accepted.Inc()
		logqueue.Notice(s.log, "rollout accepted", "step", "operators", "change", id, "service", change.Service, "version", change.Version,
			"duration_ms", change.DurationMs, "revision", result.Revision)
		ctx.SetStatusCode(fasthttp.StatusOK)
	}
}

// isRepeat reports whether a start repeats the service's newest rollout. It was accepted, so it is not
// refused although the configuration has no such service any more.
func isRepeat(v *api.View, c api.RolloutChange) bool {
	last, ok := v.Rollouts[c.Service]
	return ok && last.Version == c.Version && last.DurationMs == c.DurationMs
}

// refuseConflict refuses a start that conflicts with another rollout, which either ran when the start was
// ordered or has started or ended since; in that case the start may be sent again.
func (s *Server) refuseConflict(ctx *fasthttp.RequestCtx, base uint64, result api.SubmitResult) {
	if result.Revision > base {
		s.unavailable(ctx, errors.Errorf("overtaken by change %s", result.ConflictingChange))
		return
	}
	s.refuse(ctx, fasthttp.StatusConflict, "another rollout of the service runs")
}

// readRollout responds with the state of a service's newest rollout, confirmed by the leader's quorum.
func (s *Server) readRollout(ctx *fasthttp.RequestCtx, service string) {
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	view, err := s.control.ReadView(callCtx)
	if err != nil {
		s.unavailable(ctx, err)
		return
	}
	r, ok := view.Rollouts[service]
	if !ok {
		s.refuse(ctx, fasthttp.StatusNotFound, "the service has had no rollout")
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(s.dialect.FormatRollout(r))
}
