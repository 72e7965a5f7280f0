package standin

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// controlClient opens a new connection for each request, so that faults of open
// connections do not affect it.
var controlClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Inject activates a fault, given as the JSON of a Fault, in the stand-in at an IP:port.
// It returns an error if the stand-in cannot be reached or refuses the fault.
func Inject(addr, fault string) error { return post(addr, "/fault", fault) }

// SetInstance sets the state of an instance in the list of the platform stand-in at an
// IP:port. It returns an error if the stand-in cannot be reached or does not list the
// instance.
func SetInstance(addr, name, state string) error {
	return post(addr, "/instances", `{"name":"`+name+`","state":"`+state+`"}`)
}

func post(addr, path, body string) error {
	r, err := controlClient.Post("http://"+addr+path, "application/json", strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	defer r.Body.Close()
	if r.StatusCode >= 300 {
		text, _ := io.ReadAll(r.Body)
		return errors.Errorf("stand-in %s%s: %d %s", addr, path, r.StatusCode, text)
	}
	return nil
}
