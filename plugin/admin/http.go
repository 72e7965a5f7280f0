package admin

import (
	"context"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"nutmegrouter/internal/adminapi"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// controlTimeout bounds the wait of an operator's call for the control log. It is longer
// than the 11 s within which a change must be in force under a fault.
const controlTimeout = 15 * time.Second

// handle serves one request of the admin interface.
func (a *Admin) handle(r *fasthttp.RequestCtx) {
	switch path := string(r.Path()); path {
	case adminapi.PathLive:
		r.SetBodyString("live\n")
	case adminapi.PathReady:
		a.serveReady(r)
	case adminapi.PathMetrics:
		r.SetContentType("text/plain; charset=utf-8")
		a.kernel.Metrics.WritePrometheus(r)
		metrics.WriteProcessMetrics(r)
	case adminapi.PathStatus:
		writeJSON(r, a.status())
	case adminapi.PathView:
		writeJSON(r, a.publicView())
	case adminapi.PathHistory:
		a.serveHistory(r)
	case adminapi.PathChanges:
		a.serveChange(r)
	case adminapi.PathInForce:
		a.serveInForce(r)
	case adminapi.PathEvents:
		a.serveEvents(r)
	default:
		if strings.HasPrefix(path, adminapi.PathProfiles) {
			pprofhandler.PprofHandler(r)
			return
		}
		writeError(r, fasthttp.StatusNotFound, "route", "no such path "+strconv.Quote(path))
	}
}

// publicView returns the view without the operators' document, which contains API keys.
func (a *Admin) publicView() *api.View {
	v := *a.fleet.View()
	v.Document = nil
	return &v
}

// requireControl reports whether this instance has access to the control log; if not, it
// responds with 404.
func (a *Admin) requireControl(r *fasthttp.RequestCtx) bool {
	if a.control == nil {
		writeError(r, fasthttp.StatusNotFound, "control", "this instance takes no orders; ask a control instance")
	}
	return a.control != nil
}

func (a *Admin) serveReady(r *fasthttp.RequestCtx) {
	if ok, reason := a.ready(); !ok {
		writeError(r, fasthttp.StatusServiceUnavailable, "ready", reason)
		return
	}
	r.SetBodyString("ready\n")
}

func (a *Admin) status() adminapi.Status {
	s := a.kernel.Settings
	view := a.fleet.View()
	out := adminapi.Status{
		Instance: s.Instance, DataCentre: s.DataCentre,
		Revision: view.Revision, Access: a.access(view),
	}
	if a.control != nil {
		out.Control = a.control.Status()
	}
	out.Ready, out.NotReady = a.ready()
	for name, isOut := range view.DataCentresOut {
		if isOut {
			out.Out = append(out.Out, name)
		}
	}
	sort.Strings(out.Out)
	if a.lease == nil {
		for _, peer := range a.mesh.Peers() {
			out.Peers = append(out.Peers, adminapi.PeerStatus{Instance: peer, Reachable: a.mesh.Reachable(peer)})
		}
		return out
	}
	out.LeaseValid = a.lease.Valid()
	if view.Config != nil {
		for _, p := range view.Config.Pools {
			owner, epoch, _ := a.lease.Owner(p.Name)
			out.Pools = append(out.Pools, adminapi.PoolStatus{Pool: p.Name, Owner: owner, Epoch: epoch})
		}
	}
	for _, peer := range a.mesh.Peers() {
		out.Peers = append(out.Peers, adminapi.PeerStatus{
			Instance: peer, Reachable: a.mesh.Reachable(peer),
			MayHoldLease: a.lease.MayHoldLease(peer), Revision: a.lease.PeerRevision(peer),
		})
	}
	return out
}

// access returns which keys the configuration of a view accepts; "" if the view has none, or one that is
// not readable.
func (a *Admin) access(view *api.View) routing.Access {
	if a.dialect == nil {
		return ""
	}
	table, err := view.ParseTable(a.dialect)
	if err != nil {
		a.kernel.Log.Error("configuration not readable", "step", "status", "version", view.Version, "error", err)
	}
	if err != nil || table == nil {
		return ""
	}
	return table.Access()
}

// serveHistory responds with the newest accepted changes; limit is 1 to 1000, default 20.
func (a *Admin) serveHistory(r *fasthttp.RequestCtx) {
	if !a.requireControl(r) {
		return
	}
	limit, err := queryInt(r, "limit", 20)
	if err != nil || limit < 1 || limit > 1000 {
		writeError(r, fasthttp.StatusBadRequest, "history", "limit wants a number from 1 to 1000")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	list, err := a.control.History(ctx, int(limit))
	if err != nil {
		writeError(r, fasthttp.StatusServiceUnavailable, "history", err.Error())
		return
	}
	if list == nil {
		list = []api.HistoryEntry{}
	}
	writeJSON(r, list)
}

// serveChange submits a posted change to the control log and responds with the result.
func (a *Admin) serveChange(r *fasthttp.RequestCtx) {
	if !a.requireControl(r) {
		return
	}
	if !r.IsPost() {
		writeError(r, fasthttp.StatusMethodNotAllowed, "change", "want POST")
		return
	}
	var s api.Submission
	if err := json.Unmarshal(r.PostBody(), &s); err != nil {
		writeError(r, fasthttp.StatusBadRequest, "change", "malformed change: "+err.Error())
		return
	}
	if s.Rollout != nil { // its checks belong to the operators' calls, its end to the owner
		writeError(r, fasthttp.StatusBadRequest, "change", "rollouts are not changed here")
		return
	}
	if s.ChangeID == "" || (s.Config == nil) == (s.DataCentre == "") {
		writeError(r, fasthttp.StatusBadRequest, "change", "want a change_id and either config or data_centre")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	res, err := a.control.Submit(ctx, s)
	if err != nil {
		writeError(r, fasthttp.StatusServiceUnavailable, "change", err.Error())
		return
	}
	writeJSON(r, res)
}

// serveInForce responds whether a revision is in force, and lists the instances that it
// waits for: this one, and peers that may hold a lease. Without leases (profile "routes")
// only this instance is considered.
func (a *Admin) serveInForce(r *fasthttp.RequestCtx) {
	revision, err := queryInt(r, "revision", 0)
	if err != nil || revision < 1 {
		writeError(r, fasthttp.StatusBadRequest, "in force", "revision wants a number from 1")
		return
	}
	out := adminapi.InForce{Revision: uint64(revision)}
	if a.fleet.View().Revision < out.Revision {
		out.WaitingInstances = append(out.WaitingInstances, a.kernel.Settings.Instance)
	}
	for _, peer := range a.mesh.Peers() {
		if a.lease != nil && a.lease.MayHoldLease(peer) && a.lease.PeerRevision(peer) < out.Revision {
			out.WaitingInstances = append(out.WaitingInstances, peer)
		}
	}
	out.InForce = len(out.WaitingInstances) == 0
	writeJSON(r, out)
}

// queryInt parses a query argument as a decimal integer; fallback is used if it is absent.
func queryInt(r *fasthttp.RequestCtx, name string, fallback int64) (int64, error) {
	raw := string(r.QueryArgs().Peek(name))
	if raw == "" {
		return fallback, nil
	}
	return strconv.ParseInt(raw, 10, 64)
}

// writeJSON responds with a value encoded as JSON.
func writeJSON(r *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		writeError(r, fasthttp.StatusInternalServerError, "encode", err.Error())
		return
	}
	r.SetContentType("application/json")
	r.SetBody(append(raw, '\n'))
}

// writeError responds with a status and an adminapi.Error.
func writeError(r *fasthttp.RequestCtx, status int, step, message string) {
	raw, _ := json.Marshal(adminapi.Error{Step: step, Message: message})
	r.SetStatusCode(status)
	r.SetContentType("application/json")
	r.SetBody(append(raw, '\n'))
}
