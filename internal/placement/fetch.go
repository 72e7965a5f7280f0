package placement

import (
	"cmp"
	"slices"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

const (
	// minFetchedTokens is the number of tokens from which a fetch is considered.
	minFetchedTokens = 256
	// fetchSetupTime is the time of a fetch besides the transfer of its bytes.
	fetchSetupTime = 8 * time.Millisecond
	// remoteTransferFactor applies to a transfer between data centres. The platform states it for
	// copies of running requests.
	remoteTransferFactor = 2
	// maxTransferTime bounds the computed time of a transfer, which a configuration may make
	// arbitrarily long.
	maxTransferTime = time.Hour
	// maxExaminedSources and maxSources bound the targets that a decision examines as sources and
	// compares for each candidate: a part may be cached on every target.
	maxExaminedSources = 64
	maxSources         = 8
)

// transferTime returns the time of a fetch of a number of tokens without the wait for the links.
func transferTime(e *routing.Engine, tokens int, remote bool) time.Duration {
	takes := float64(fetchSetupTime) + float64(tokens)*e.CachedTokenBytes*8/e.LinkMbps*float64(time.Microsecond)
	if remote {
		takes *= remoteTransferFactor
	}
	return time.Duration(min(takes, float64(maxTransferTime)))
}

// link is the network link of a target, which carries one transfer after another.
type link struct {
	busyUntil time.Duration
}

// transferWait returns the time from now until two links are both free.
func transferWait(a, b *link, now time.Duration) time.Duration {
	return max(0, a.busyUntil-now, b.busyUntil-now)
}

// reserveTransfer queues a transfer on both of its links and returns when it ends.
func reserveTransfer(a, b *link, takes, now time.Duration) (ends time.Duration) {
	ends = now + transferWait(a, b, now) + takes
	a.busyUntil, b.busyUntil = ends, ends
	return ends
}

// fetch is a transfer of prompt parts from another target, which need no prefill then. The zero
// value is none.
type fetch struct {
	source   *target
	tokens   int
	transfer time.Duration
	// delay is the time by which the fetch ends after the prefill could begin.
	delay time.Duration
}

// cost returns the cost of the fetch and of a prefill of the other tokens.
func (f *fetch) cost(prefill time.Duration) time.Duration {
	return time.Duration(prefillWeight*float64(prefill) + fetchWeight*float64(f.transfer))
}

// source is a target that has prefilled the first tokens of a prompt.
type source struct {
	target *target
	tokens int
}

// compare orders sources: most tokens first, then the link that is free first.
func (s source) compare(other source) int {
	return cmp.Or(cmp.Compare(other.tokens, s.tokens), cmp.Compare(s.target.link.busyUntil, other.target.link.busyUntil),
		cmp.Compare(s.target.info.ID, other.target.info.ID))
}

// fetchSources holds the best sources for one request.
type fetchSources struct {
	enabled      bool // a service can fetch
	engine       *routing.Engine
	promptTokens int
	list         []source // in the order of source.compare, at most maxSources
}

// setServices replaces the services.
func (f *fetchSources) setServices(services map[string]*routing.Service) {
	f.enabled = false
	for _, s := range services {
		f.enabled = f.enabled || s.Engine != nil && s.Engine.CanFetch()
	}
}

// findSources finds the sources for a request. Predictions for it use them until the next call.
func (o *Owner) findSources(w *work, now time.Duration) {
	f := &o.sources
	f.list = f.list[:0]
	if !f.enabled || len(w.request.Prompt) == 0 {
		return
	}
	s := o.view.Services[w.request.Service]
	if s == nil || s.Engine == nil || !s.Engine.CanFetch() {
		return
	}
	f.engine, f.promptTokens = s.Engine, 0
	for _, p := range w.request.Prompt {
		f.promptTokens += p.Tokens
	}
	examined := 0
	for t := range o.cacheIndex[w.request.Prompt[0].ID] {
		if examined++; examined > maxExaminedSources {
			break
		}
		if tokens := t.cache.prefilledTokens(w.request.Prompt); tokens >= minFetchedTokens && o.canBeSource(t, w, now) {
			f.add(source{t, tokens})
		}
	}
}

// canBeSource reports whether other targets may fetch from a target. One that is cold or suspect
// may have restarted and lost its cache.
func (o *Owner) canBeSource(t *target, w *work, now time.Duration) bool {
	return t.info.Service == w.request.Service && o.inService(t) && t.pausedUntil <= now && t.health.suspectUntil <= now &&
		t.info.ColdUntil <= now && !slices.Contains(w.request.Tried, t.info.ID)
}

func (f *fetchSources) add(s source) {
	i, _ := slices.BinarySearchFunc(f.list, s, source.compare)
	if i == maxSources {
		return
	}
	if len(f.list) == maxSources {
		f.list = f.list[:maxSources-1]
	}
	f.list = slices.Insert(f.list, i, s)
}

// best returns the fetch with the lowest cost for a request on a target, none if no fetch costs
// less than the prefill of all uncached tokens. The target could begin with the prefill startAfter
// from now; a transfer goes on while it prefills other prompts.
func (f *fetchSources) best(t *target, uncached int, startAfter, now time.Duration) (best fetch) {
	prefillAll := t.prefillTime(float64(uncached))
	minCost := prefillAll + prefillCost(prefillAll)
	for _, s := range f.list {
		tokens := s.tokens - (f.promptTokens - uncached)
		if tokens < minFetchedTokens {
			break // the others have no more
		}
		if s.target == t || s.target.info.Version != t.info.Version {
			continue
		}
		x := fetch{source: s.target, tokens: tokens, transfer: transferTime(f.engine, tokens, s.target.info.DataCentre != t.info.DataCentre)}
		x.delay = max(0, transferWait(&s.target.link, &t.link, now)+x.transfer-startAfter)
		prefill := t.prefillTime(float64(uncached - tokens))
		if cost := x.delay + prefill + x.cost(prefill); cost < minCost {
			best, minCost = x, cost
		}
	}
	return best
}

// minPrefill returns lower bounds of candidate.prefill for a number of uncached tokens, and of its
// cost: those of a fetch from the source with the most tokens, without a delay. There must be a source.
func (f *fetchSources) minPrefill(t *target, uncached int) (prefill, cost time.Duration) {
	prefillAll := t.prefillTime(float64(uncached))
	tokens := f.list[0].tokens - (f.promptTokens - uncached)
	if tokens < minFetchedTokens {
		return prefillAll, prefillCost(prefillAll)
	}
	x := fetch{transfer: transferTime(f.engine, tokens, false)}
	prefill = t.prefillTime(float64(uncached - tokens))
	if cost = x.cost(prefill); prefill+cost >= prefillAll+prefillCost(prefillAll) {
		return prefillAll, prefillCost(prefillAll)
	}
	return prefill, cost
}

// prefillTokens returns the tokens that the target has to prefill.
func (c candidate) prefillTokens() int { return c.uncached - c.fetch.tokens }

// beginFetch records the fetch with which a request was granted its target.
func (t *target) beginFetch(w *work, f fetch, now time.Duration) {
	if f.source == nil {
		return
	}
	w.fetchSource, w.fetchedTokens = f.source, f.tokens
	w.uncached -= f.tokens
	w.fetchDelay = f.delay
	reserveTransfer(&f.source.link, &t.link, f.transfer, now)
	t.invalidateBacklog()
}

// recordFetched corrects the assumption about the source of a request that got its first event a
// time after its prefill could begin, and returns the tokens and the time from which the prefill
// rate is learned; no tokens = none. If the request took as long as the prefill of all tokens, the
// source has probably not had the parts any more. The time includes the latency without prefill,
// so that this cannot be distinguished where the fetch saves less than that.
func (t *target) recordFetched(w *work, took time.Duration, waited bool) (prefilled int, prefillTime time.Duration) {
	all := w.uncached + w.fetchedTokens
	takesAll := t.prefillTime(float64(all))
	if took >= takesAll && takesAll-t.prefillTime(float64(w.uncached))-w.fetchDelay >= baseLatency {
		w.fetchSource.cache.forget(w.request.Prompt)
		return all, took
	}
	if waited {
		return 0, 0 // the fetch may have ended before the prefill could begin, or after
	}
	return w.uncached, took - w.fetchDelay
}

// loseParts makes the owner assume that a target has lost its prompt cache, as far as fetches are
// concerned.
func (t *target) loseParts(outcome api.AttemptOutcome) {
	if outcome == api.AttemptUnreachable {
		t.cache.generation++
	}
}
