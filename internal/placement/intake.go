package placement

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// maxAsked bounds the requests that wait for their first decision. Further ones are refused at once.
const maxAsked = 16384

// askedRequest is a request that waits for its first decision.
type askedRequest struct {
	key       Key
	request   Request
	askedAt   time.Duration // when its entry instance asked
	withdrawn bool
}

// askedQueue holds the requests of one workspace that wait for their first decision, oldest first.
type askedQueue struct {
	workspace string
	requests  []*askedRequest
	// service is the virtual service of the workspace: the tokens that were decided on, and at least that
	// of the workspace whose turn it was when the queue began.
	service float64
	index   int // in the heap
}

// intake orders the requests that wait for their first decision. The owner decides on them in the order of
// the service that their workspaces have got (start-time fair queueing), so that a workspace that asks for
// more than the owner's processor bears makes only its own requests late.
type intake struct {
	byKey   map[Key]*askedRequest
	queues  map[string]*askedQueue // those that are not empty
	heap    askedHeap
	virtual float64 // service of the workspace whose turn it was last
}

func newIntake() *intake {
	return &intake{byKey: map[Key]*askedRequest{}, queues: map[string]*askedQueue{}}
}

// add adds a request. A request whose key is known is ignored.
func (in *intake) add(a *askedRequest) {
	if in.byKey[a.key] != nil {
		return
	}
	in.byKey[a.key] = a
	q := in.queues[a.request.Workspace]
	if q == nil {
		q = &askedQueue{workspace: a.request.Workspace, service: in.virtual}
		in.queues[q.workspace] = q
		heap.Push(&in.heap, q)
	}
	q.requests = append(q.requests, a)
}

// withdraw removes a request, if it waits.
func (in *intake) withdraw(k Key) {
	if a := in.byKey[k]; a != nil {
		a.withdrawn = true
		delete(in.byKey, k)
	}
}

// next removes the request that is next, and returns it with its queue; nil = none waits.
func (in *intake) next() (*askedRequest, *askedQueue) {
	for len(in.heap) > 0 {
		q := in.heap[0]
		a := q.requests[0]
		q.requests = q.requests[1:]
		if len(q.requests) == 0 {
			heap.Pop(&in.heap)
			delete(in.queues, q.workspace)
		}
		if !a.withdrawn {
			delete(in.byKey, a.key)
			return a, q
		}
	}
	return nil, nil
}

// charge adds to the service of a workspace whose turn it was.
func (in *intake) charge(q *askedQueue, tokens float64) {
	in.virtual = max(in.virtual, q.service)
	q.service += tokens
	if len(q.requests) > 0 {
		heap.Fix(&in.heap, q.index)
	}
}

// askedHeap orders queues by the service of their workspaces.
type askedHeap []*askedQueue

func (h askedHeap) Len() int { return len(h) }

func (h askedHeap) Less(i, j int) bool {
	if c := cmp.Compare(h[i].service, h[j].service); c != 0 {
		return c < 0
	}
	return h[i].workspace < h[j].workspace
}

func (h askedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *askedHeap) Push(x any) {
	q := x.(*askedQueue)
	q.index = len(*h)
	*h = append(*h, q)
}

func (h *askedHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	*h = old[:len(old)-1]
	return q
}

// Ask takes a request for which an entry instance asked lateness before now. DecideAsked decides on it,
// unless End withdraws it before.
func (o *Owner) Ask(k Key, req Request, lateness, now time.Duration) {
	a := &askedRequest{key: k, request: req, askedAt: now - lateness}
	switch {
	case o.requests[k] != nil:
	case req.Plain || req.Resumes: // it takes little time, or has been decided on before
		o.submitAsked(a, now)
	case len(o.asked.byKey) >= maxAsked:
		o.decisions = append(o.decisions, Decision{
			Key: k, Code: CodeTooLate, RetryAfter: maxRetryAfter, ForwardShare: o.shares.forwardShare(req.Workspace)})
	default:
		o.asked.add(a)
	}
}

// Asked returns the number of requests that wait for their first decision.
func (o *Owner) Asked() int { return len(o.asked.byKey) }

// maxUnsearched bounds the requests that one call of DecideAsked refuses without a search.
const maxUnsearched = 256

// DecideAsked decides on requests that wait for their first decision, until it has searched targets for n of
// them. Those that are refused without a search do not count, up to 256 (maxUnsearched).
func (o *Owner) DecideAsked(n int, now time.Duration) {
	for unsearched := 0; n > 0 && unsearched < maxUnsearched; {
		a, q := o.asked.next()
		if a == nil {
			return
		}
		if decided := o.submitAsked(a, now); !decided {
			unsearched++
			continue
		}
		n--
		o.asked.charge(q, a.request.cost())
	}
}

// submitAsked submits a request with the times that are left to it, and reports whether a target was
// chosen or looked for.
func (o *Owner) submitAsked(a *askedRequest, now time.Duration) (decided bool) {
	req := a.request
	req.Lateness = now - a.askedAt
	req.Objective, req.Deadline = req.Objective-req.Lateness, req.Deadline-req.Lateness
	if req.CallerDeadline > 0 {
		req.CallerDeadline = max(1, req.CallerDeadline-req.Lateness)
	}
	return o.submit(a.key, req, now)
}

// DropAsked forgets the requests that wait for their first decision, and returns the entry instances that
// have asked.
func (o *Owner) DropAsked() []string {
	seen := map[string]bool{}
	for k := range o.asked.byKey {
		seen[k.Entry] = true
	}
	o.asked = newIntake()
	return slices.Collect(maps.Keys(seen))
}
