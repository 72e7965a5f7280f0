package entry

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

const poolPrefix = "/v1/pools/"

// enginePaths are the paths of an engine that callers may use. Orders, cache events and
// stream cancellation are reserved for the router.
var enginePaths = map[string]bool{"/v1/chat/completions": true, "/v1/completions": true}

// route sets the pool of a request and its path on the target, or returns a refusal.
func (t *routes) route(r *api.Request, uri string) *api.Refusal {
	if !validRequestTarget(uri) {
		return badRequest("the request target is malformed")
	}
	path, _, _ := strings.Cut(uri, "?")
	switch {
	case enginePaths[path]:
		return t.routeByModel(r, uri)
	case strings.HasPrefix(path, poolPrefix):
		return t.routeByPool(r, uri[len(poolPrefix):])
	}
	return newRefusal(fasthttp.StatusNotFound, codeUnknownPath, "no such path")
}

// routeByPool routes a request to the pool in its path; the rest is the target's path.
func (t *routes) routeByPool(r *api.Request, rest string) *api.Refusal {
	name, query, hasQuery := strings.Cut(rest, "?")
	name, path, _ := strings.Cut(name, "/")
	pool, ok := t.pools[name]
	if !ok {
		return newRefusal(fasthttp.StatusNotFound, codeUnknownPool, "no such pool")
	}
	path = "/" + path
	if pool.Kind == fleetconfig.KindEngine && !enginePaths[path] {
		return newRefusal(fasthttp.StatusNotFound, codeUnknownPath, "engines serve /v1/chat/completions and /v1/completions")
	}
	if hasQuery {
		path += "?" + query
	}
	r.Pool, r.Path = name, path
	return nil
}

// routeByModel routes a request to the pool that serves the model in its body.
func (t *routes) routeByModel(r *api.Request, uri string) *api.Refusal {
	if r.Method != fasthttp.MethodPost {
		return newRefusal(fasthttp.StatusMethodNotAllowed, codeMethodNotAllowed, "completions are made with POST")
	}
	var body struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return badRequest("the body is not JSON with a model")
	}
	pool, ok := t.models[body.Model]
	if !ok {
		return newRefusal(fasthttp.StatusNotFound, codeUnknownModel, "no pool serves this model")
	}
	r.Pool, r.Path = pool, uri
	return nil
}

// validRequestTarget reports whether a request target is in origin form without control
// characters, spaces and dot segments, with which a path could leave its pool.
func validRequestTarget(uri string) bool {
	if !strings.HasPrefix(uri, "/") || strings.HasPrefix(uri, "//") {
		return false
	}
	for i := 0; i < len(uri); i++ {
		if uri[i] <= ' ' || uri[i] >= 0x7f || uri[i] == '#' || uri[i] == '\\' {
			return false
		}
	}
	path, _, _ := strings.Cut(uri, "?")
	for _, seg := range strings.Split(path, "/") {
		if lower := strings.ToLower(seg); isDotSegment(strings.ReplaceAll(lower, "%2e", ".")) {
			return false
		}
	}
	return true
}

func isDotSegment(s string) bool { return s == "." || s == ".." }
