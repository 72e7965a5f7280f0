package callerconn

import (
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// ReadFault tells why the server could not read a request.
type ReadFault uint8

// Reasons.
const (
	Malformed ReadFault = iota
	BodyTooLarge
	HeadTooLarge
	TimedOut
)

// ReadFaultOf returns the reason that stands behind an error of the server.
func ReadFaultOf(err error) ReadFault {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return BodyTooLarge
	case errors.As(err, &small):
		return HeadTooLarge
	case errors.As(err, &ne) && ne.Timeout():
		return TimedOut
	}
	return Malformed
}
