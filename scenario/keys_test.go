package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/adminapi"
	"nutmegrouter/internal/routing"
	"nutmegrouter/platform/standin"
)

// Guards against a configuration that takes away the last workspace and opens all routes: on instances
// that run, and on those that read it again after a restart. An operator sees which keys are accepted.
func TestLastWorkspaceRemoved(t *testing.T) {
	is := is.New(t)
	f := newRoutesFleet(t)
	f.startControl()
	f.startEntry()
	config := standin.Config{
		Version: 1, TokensPerSecond: 1000, Services: []standin.Service{{Name: "s"}}, Callers: standin.UsualCallerLimits,
		Workspaces: map[string][]string{"w": {"key"}},
		Routes:     []standin.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Service: "s", Kind: "idempotent", TimeoutMs: 2000, ObjectiveMs: 1000, MaxAttempts: 2}},
	}
	f.configure(config)
	f.waitFor("use of the key", func() bool { return f.statusOf("key") == http.StatusOK })
	is.Equal(f.statusOf("unknown"), http.StatusUnauthorized)
	is.Equal(f.access(), routing.AccessByKey)

	config.Version, config.Workspaces = 2, map[string][]string{}
	f.configure(config)
	f.waitFor("end of the key", func() bool { return f.statusOf("key") != http.StatusOK })
	requireClosed := func() {
		t.Helper()
		runs := len(f.target.RunLog.Arrivals())
		for _, key := range []string{"key", "unknown", ""} {
			is.Equal(f.statusOf(key), http.StatusUnauthorized)
		}
		is.Equal(len(f.target.RunLog.Arrivals()), runs)
		is.Equal(f.access(), routing.AccessClosed)
	}
	requireClosed()
	f.processes.KillAll()
	f.startControl()
	f.startEntry()
	f.waitFor("configuration after the restart", func() bool { return f.access() != "" })
	requireClosed()

	config.Version, config.Workspaces = 3, nil
	f.configure(config)
	f.waitFor("open routes", func() bool { return f.statusOf("") == http.StatusOK })
	is.Equal(f.access(), routing.AccessOpen)
}

// statusOf sends a request with a key and returns the status of the response; 0 without one.
func (f *routesFleet) statusOf(key string) int {
	call := standin.Call{ID: fmt.Sprint(time.Now().UnixNano()), Host: "h.example", Path: "/a/x", Method: http.MethodGet, APIKey: key, Deadline: 2 * time.Second}
	response := call.Do(context.Background(), http.DefaultClient, f.listen)
	return response.Status
}

// access returns which keys the entry instance accepts; "" if it does not respond or has no configuration.
func (f *routesFleet) access() routing.Access {
	resp, err := http.Get("http://" + f.entryAdmin + adminapi.PathStatus)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var status adminapi.Status
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		f.t.Fatal(err)
	}
	return status.Access
}
