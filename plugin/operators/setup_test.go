package operators

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/settings"
)

// log is a fake of the control log.
type log struct {
	api.Control
	api.Dialect
	reading chan struct{} // receives when an order has been read from the caller
	goOn    chan struct{} // lets ReadOrders return
	result  api.SubmitResult
	applied []api.Submission
}

func (l *log) ParseOrder(method, path string) (api.Order, bool) {
	return api.Order{Kind: api.OrderTakeOut, DataCentre: "a"}, path == "/out"
}

func (l *log) ReadOrders(context.Context) (uint64, error) {
	l.reading <- struct{}{}
	<-l.goOn
	return 7, nil
}

func (l *log) Submit(_ context.Context, s api.Submission) (api.SubmitResult, error) {
	l.applied = append(l.applied, s)
	return l.result, nil
}

// serve starts a server and returns a connection to it.
func serve(t *testing.T, l *log) net.Conn {
	is := is.New(t)
	s := &settings.Settings{Routes: settings.Routes{DataCentres: []string{"a"}}}
	c := kernel.NewContext(s, slog.New(slog.DiscardHandler), kernel.NewClock())
	is.NoErr(kernel.Provide[api.Control](c, l))
	is.NoErr(kernel.Provide[api.Dialect](c, l))
	server := &Server{}
	is.NoErr(server.Provision(c))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.http.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	conn, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	_, err = conn.Write([]byte("POST /out HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
	is.NoErr(err)
	<-l.reading
	return conn
}

// Guards against an order that is submitted without the number of orders accepted before it, so that it
// undoes a later one, and against one that is acknowledged although a later one has overtaken it.
func TestOrderCarriesItsBase(t *testing.T) {
	for status, result := range map[int]api.SubmitResult{
		fasthttp.StatusOK: {Revision: 3}, fasthttp.StatusServiceUnavailable: {Revision: 3, ConflictingChange: "later"},
	} {
		is := is.New(t)
		l := &log{reading: make(chan struct{}, 1), goOn: make(chan struct{}), result: result}
		conn := serve(t, l)
		close(l.goOn)
		var response fasthttp.Response
		is.NoErr(response.Read(bufio.NewReader(conn)))
		is.Equal(response.StatusCode(), status)
		is.Equal(len(l.applied), 1)
		is.Equal(*l.applied[0].BaseOrders, uint64(7))
		is.NoErr(conn.Close())
	}
}

// Guards against an order that is submitted although its caller has gone while the base was read: the
// caller may have sent it, and a later one, to another instance meanwhile.
func TestOrderOfDisconnectedCallerIsNotSubmitted(t *testing.T) {
	is := is.New(t)
	l := &log{reading: make(chan struct{}, 1), goOn: make(chan struct{})}
	conn := serve(t, l)
	is.NoErr(conn.Close())
	time.Sleep(50 * time.Millisecond) // until the close has arrived
	close(l.goOn)
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(l.applied), 0)
}
