package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// routes indexes the configuration of one view for fast lookups.
type routes struct {
	view   *api.View
	keys   []keyHash
	pools  map[string]fleetconfig.Pool
	models map[string]string // model -> pool
}

// keyHash is the SHA-256 of a bearer key and the workspace that owns the key.
type keyHash struct {
	hash      [sha256.Size]byte
	workspace string
}

// currentRoutes returns the routes of the newest view, or nil if it has no configuration.
func (s *Server) currentRoutes() *routes {
	v := s.fleet.View()
	if v.Config == nil {
		return nil
	}
	if r := s.routes.Load(); r != nil && r.view == v {
		return r
	}
	r := newRoutes(v)
	s.routes.Store(r)
	return r
}

// newRoutes builds the routes of a view. The first engine pool of a model serves it.
func newRoutes(v *api.View) *routes {
	r := &routes{view: v, pools: map[string]fleetconfig.Pool{}, models: map[string]string{}}
	for _, p := range v.Config.Pools {
		r.pools[p.Name] = p
		if _, ok := r.models[p.Model]; !ok && p.Kind == fleetconfig.KindEngine && p.Model != "" {
			r.models[p.Model] = p.Name
		}
	}
	for _, w := range v.Config.Workspaces {
		for _, h := range w.KeyHashes {
			raw, err := hex.DecodeString(h)
			if err != nil || len(raw) != sha256.Size {
				continue // validation of the configuration refuses these
			}
			r.keys = append(r.keys, keyHash{hash: [sha256.Size]byte(raw), workspace: w.Name})
		}
	}
	return r
}

// workspace returns the workspace that owns a bearer key. It compares all hashes in
// constant time, so that the time does not reveal which one matched.
func (r *routes) workspace(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i := range r.keys {
		match := subtle.ConstantTimeCompare(sum[:], r.keys[i].hash[:])
		found = subtle.ConstantTimeSelect(match, i, found)
	}
	if found < 0 {
		return "", false
	}
	return r.keys[found].workspace, true
}
