package placewire

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/routing"
)

func modelRequest(workspace, url, body, lastPart string) *api.PlacementRequest {
	return &api.PlacementRequest{
		Engine: &routing.Engine{}, Route: &routing.Route{}, Workspace: workspace, PromptTokens: 900,
		Prompt:   []api.PromptPart{{ID: "root", Tokens: 500}, {ID: lastPart, Tokens: 400}},
		Identity: api.NewRequestIdentity(workspace, []byte("POST"), []byte("host"), []byte(url), []byte(body)),
	}
}

// Guards against attempts of one request that are not recognised, because the hash depends on what an instance learns
// later or on the attempt, and against requests of one session that are taken for each other.
func TestRequestHash(t *testing.T) {
	is := is.New(t)
	first := modelRequest("w", "/chat/1", "", "session") // before its body has arrived
	retry := modelRequest("w", "/chat/1", "body", "session")
	retry.RequestID, retry.ExpectedOutputTokens, retry.TriedTargets = "other", 50, []string{"t"}
	hash := RequestHash(first)
	is.True(hash != 0)
	is.Equal(RequestHash(retry), hash)
	longer := modelRequest("w", "/chat/1", "", "session")
	longer.PromptTokens++
	for _, other := range []*api.PlacementRequest{
		modelRequest("w", "/chat/2", "", "session"), modelRequest("v", "/chat/1", "", "session"), modelRequest("w", "/chat/1", "", "other"), longer,
	} {
		is.True(RequestHash(other) != hash)
	}
	first.Identity = nil
	is.Equal(RequestHash(first), placement.RequestHash(0))
}

// Guards against a caller's deadline that the owner takes for the shorter one of the route, or for one that was not
// stated.
func TestCallerDeadlineReachesOwner(t *testing.T) {
	is := is.New(t)
	w := modelRequest("w", "/chat/1", "", "session")
	w.Objective, w.Deadline, w.CallerDeadline = 3*time.Second, 6*time.Second, 12*time.Second
	message := NewRequest(7, w, 2*time.Second)
	r := message.ToPlacement("z")
	is.Equal(r.Deadline, 4*time.Second)
	is.Equal(r.CallerDeadline, 10*time.Second)
	is.Equal(r.Hash, RequestHash(w))
	throttled := NewRefused(w, 2*time.Second).ToPlacement()
	is.Equal(throttled, placement.ThrottledRequest{Tokens: 900, Hash: r.Hash, CallerDeadline: 10 * time.Second, Objective: time.Second})
	message = NewRequest(7, w, 13*time.Second) // passed, but stated
	is.True(message.ToPlacement("z").CallerDeadline > 0)
	w.CallerDeadline = 0
	message = NewRequest(7, w, 2*time.Second)
	is.Equal(message.ToPlacement("z").CallerDeadline, time.Duration(0))
	is.Equal(NewRefused(w, 2*time.Second).ToPlacement().CallerDeadline, time.Duration(0))
}

// Guards against messages of an earlier version that are malformed for this one, and against its last prompt parts that
// are taken for the hash of a request.
func TestMessagesOfEarlierVersion(t *testing.T) {
	is := is.New(t)
	var m EntryMessage
	is.NoErr(json.Unmarshal([]byte(`{"t":1,"z":"z","x":{"w":[[900,77,400]]},"a":[{"n":1,"s":"m","k":[900,160],"d":[400,12000,400]}]}`), &m))
	throttled := m.Refused["w"][0].ToPlacement()
	is.Equal(throttled.Tokens, 900)
	is.Equal(throttled.CallerDeadline, time.Duration(0)) // counts as new
	r := m.Requests[0].ToPlacement("z")
	is.Equal(r.Deadline, 12*time.Second)
	is.Equal(r.Hash, placement.RequestHash(0))
	raw, err := json.Marshal(EntryMessage{Refused: map[string][]Refused{"w": {{900, 5, 400, 12000}}}, Requests: []Request{{Hash: 5, TimesMs: [4]int64{400, 12000, 400, 12000}}}})
	is.NoErr(err)
	var earlier struct {
		Requests []struct {
			TimesMs [3]int64 `json:"d"`
		} `json:"a"`
		Refused map[string][][3]int64 `json:"x"`
	}
	is.NoErr(json.Unmarshal(raw, &earlier))
	is.Equal(earlier.Refused["w"][0], [3]int64{900, 5, 400})
	is.Equal(earlier.Requests[0].TimesMs, [3]int64{400, 12000, 400})
}
