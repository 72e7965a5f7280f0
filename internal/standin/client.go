package standin

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// controlClient uses a fresh connection each time, so that no fault of a
// target's open connections can touch it.
var controlClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Inject posts a fault (JSON, see Fault) to the stand-in at an address.
func Inject(addr, fault string) error { return post(addr, "/fault", fault) }

// SetInstance changes the state of one instance in a platform's list.
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
