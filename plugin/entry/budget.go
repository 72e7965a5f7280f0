package entry

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
)

// bodyBudgetFactor is the memory for the bodies of waiting and running requests, as a
// multiple of the largest allowed body.
const bodyBudgetFactor = 32

// reserveBody reserves the memory of a body of size bytes. It returns a function that
// releases it, or a refusal if the budget is used up. A body is kept until its response
// has ended, because a retry or a resume sends it again.
func (s *Server) reserveBody(size int) (release func(), refusal *api.Refusal) {
	if !s.bodies.Reserve(size) {
		r := newRefusal(fasthttp.StatusServiceUnavailable, codeBodiesFull,
			"the bodies of waiting requests exceed "+strconv.FormatInt(s.bodies.Limit(), 10)+" bytes")
		r.RetryAfter = time.Second
		return nil, r
	}
	return func() { s.bodies.Release(size) }, nil
}
