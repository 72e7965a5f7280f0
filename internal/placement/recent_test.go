package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a new owner that takes all prompt caches for empty, so that shared parts are prefilled again, and
// against one that believes reports of another incarnation or evicts newer parts for them.
func TestNewOwnerLearnsRecentPrompts(t *testing.T) {
	is := is.New(t)
	s := newFetchSim()
	shared := []Part{{21, 1000}, {22, 4000}}
	target := s.owner.targets["e01"]
	s.owner.RecordRecentPrompts([]RecentPrompt{
		{Target: "gone", Parts: shared},
		{Target: "e01", StartedUnixMs: target.info.StartedUnixMs + 1, Parts: shared},
	})
	is.Equal(target.cache.usedTokens, 0)
	s.owner.RecordRecentPrompts([]RecentPrompt{{Target: "e01", StartedUnixMs: target.info.StartedUnixMs, Parts: shared, Ago: time.Second}})
	is.Equal(target.cache.prefilledTokens(shared), 5000)
	req := fetchRequest(1)
	req.Prompt = append(append([]Part{}, shared...), Part{23, 600})
	s.owner.Submit(Key{"n", 1}, req, s.now)
	is.Equal(s.owner.Decisions()[0].Target, "e01")

	full := s.owner.targets["e02"]
	full.cache.addOldest([]Part{{30, full.cache.capacity - 100}}, 0)
	s.owner.RecordRecentPrompts([]RecentPrompt{{Target: "e02", StartedUnixMs: full.info.StartedUnixMs, Parts: shared}})
	is.Equal(full.cache.prefilledTokens(shared), 0)
	is.Equal(full.cache.prefilledTokens([]Part{{30, full.cache.capacity - 100}}), full.cache.capacity-100)
}

// Guards against a new owner that sends a session's next request to a target which must prefill the session's own part
// again.
func TestNewOwnerFindsSession(t *testing.T) {
	is := is.New(t)
	s := newFetchSim()
	shared, session := []Part{{21, 1000}, {22, 4000}}, Part{23, 6000}
	var prompts []RecentPrompt
	for _, id := range []string{"e01", "e02", "e03"} {
		prompts = append(prompts, RecentPrompt{Target: id, StartedUnixMs: s.owner.targets[id].info.StartedUnixMs, Parts: shared, Ago: time.Second})
	}
	prompts = append(prompts, RecentPrompt{Target: "e03", StartedUnixMs: s.owner.targets["e03"].info.StartedUnixMs, Parts: append(append([]Part{}, shared...), session), Ago: time.Second})
	s.owner.RecordRecentPrompts(prompts)
	req := fetchRequest(1)
	req.Prompt = append(append([]Part{}, shared...), session)
	s.owner.Submit(Key{"n", 1}, req, s.now)
	d := s.owner.Decisions()[0]
	is.Equal(d.Target, "e03")
	is.Equal(d.UncachedTokens, 0)
}
