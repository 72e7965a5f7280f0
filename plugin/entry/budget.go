package entry

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
)

// budgetBodies is how many of the largest bodies an instance holds at a time for
// requests that wait or run. Many small ones may take the same memory.
const budgetBodies = 32

// takeBody reserves the memory of a body and returns the function that frees it, or a
// refusal if there is no room. A body is kept until its answer has ended, because a
// retry or a resume sends it again.
func (s *Server) takeBody(size int) (free func(), refusal *api.Refusal) {
	if !s.bodies.Take(size) {
		r := refuse(fasthttp.StatusServiceUnavailable, codeBodiesFull,
			"the bodies of waiting requests exceed "+strconv.FormatInt(s.bodies.Limit(), 10)+" bytes")
		r.RetryAfter = time.Second
		return nil, r
	}
	return func() { s.bodies.Free(size) }, nil
}
