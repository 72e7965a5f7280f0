package callerconn

import (
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// ReadErrorKind is the reason why the server could not read a request.
type ReadErrorKind uint8

// Reasons for which a request cannot be read.
const (
	Malformed      ReadErrorKind = iota // any other reason
	BodyTooLarge                        // the body exceeds the server's limit
	HeaderTooLarge                      // the header exceeds the server's read buffer
	TimedOut                            // the request was not received in time
)

// ClassifyReadError classifies an error that the server passed to its error
// handler.
func ClassifyReadError(err error) ReadErrorKind {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return BodyTooLarge
	case errors.As(err, &small):
		return HeaderTooLarge
	case errors.As(err, &ne) && ne.Timeout():
		return TimedOut
	}
	return Malformed
}
