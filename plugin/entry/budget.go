package entry

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
)

// budgetBodies is how many of the largest bodies an instance holds at a time for
// requests that wait or run. Many small ones may take the same memory.
const budgetBodies = 32

// budget bounds the memory of request bodies. A body is kept until its answer
// has ended, because a retry or a resume sends it again.
type budget struct {
	limit int64
	held  atomic.Int64
}

func newBudget(maxBody int) *budget { return &budget{limit: budgetBodies * int64(maxBody)} }

// take reserves the memory of a body and returns the function that frees it, or
// a refusal if there is no room.
func (b *budget) take(size int) (free func(), refusal *api.Refusal) {
	n := int64(size)
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		r := refuse(fasthttp.StatusServiceUnavailable, codeBodiesFull,
			"the bodies of waiting requests exceed "+strconv.FormatInt(b.limit, 10)+" bytes")
		r.RetryAfter = time.Second
		return nil, r
	}
	return func() { b.held.Add(-n) }, nil
}
