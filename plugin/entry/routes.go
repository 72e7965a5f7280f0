package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// routes is what the server needs of one view, in a form that is quick to use.
type routes struct {
	view   *api.View
	keys   []keyHash
	pools  map[string]fleetconfig.Pool
	models map[string]string // model -> pool
}

type keyHash struct {
	hash      [sha256.Size]byte
	workspace string
}

// current returns the routes of the newest view, or nil before there is one.
func (s *Server) current() *routes {
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
				continue // the validation of the document refuses these
			}
			r.keys = append(r.keys, keyHash{hash: [sha256.Size]byte(raw), workspace: w.Name})
		}
	}
	return r
}

// workspace returns the owner of a bearer key. Every hash is compared, so the
// time taken tells nothing about which one matched.
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
