package entry

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

const poolPrefix = "/v1/pools/"

// enginePaths are the paths of an engine that callers may use. Orders, cache
// events and cancels are for the router.
var enginePaths = map[string]bool{"/v1/chat/completions": true, "/v1/completions": true}

// route sets the pool and the path on the target.
func (t *routes) route(r *api.Request, uri string) *api.Refusal {
	if !cleanURI(uri) {
		return badRequest("the request target is malformed")
	}
	path, _, _ := strings.Cut(uri, "?")
	switch {
	case enginePaths[path]:
		return t.routeModel(r, uri)
	case strings.HasPrefix(path, poolPrefix):
		return t.routePool(r, uri[len(poolPrefix):])
	}
	return refuse(fasthttp.StatusNotFound, codeUnknownPath, "no such path")
}

// routePool takes the pool from the path and passes the rest on.
func (t *routes) routePool(r *api.Request, rest string) *api.Refusal {
	name, query, hasQuery := strings.Cut(rest, "?")
	name, path, _ := strings.Cut(name, "/")
	pool, ok := t.pools[name]
	if !ok {
		return refuse(fasthttp.StatusNotFound, codeUnknownPool, "no such pool")
	}
	path = "/" + path
	if pool.Kind == fleetconfig.KindEngine && !enginePaths[path] {
		return refuse(fasthttp.StatusNotFound, codeUnknownPath, "engines serve /v1/chat/completions and /v1/completions")
	}
	if hasQuery {
		path += "?" + query
	}
	r.Pool, r.Path = name, path
	return nil
}

// routeModel takes the pool from the model that the body names.
func (t *routes) routeModel(r *api.Request, uri string) *api.Refusal {
	if r.Method != fasthttp.MethodPost {
		return refuse(fasthttp.StatusMethodNotAllowed, codeMethod, "completions are made with POST")
	}
	var body struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return badRequest("the body is not JSON with a model")
	}
	pool, ok := t.models[body.Model]
	if !ok {
		return refuse(fasthttp.StatusNotFound, codeUnknownModel, "no pool serves this model")
	}
	r.Pool, r.Path = pool, uri
	return nil
}

// cleanURI accepts a path in origin form without control characters, spaces and
// parent segments, with which a path could leave its pool.
func cleanURI(uri string) bool {
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
		if plain := strings.ToLower(seg); dotSegment(strings.ReplaceAll(plain, "%2e", ".")) {
			return false
		}
	}
	return true
}

func dotSegment(s string) bool { return s == "." || s == ".." }
