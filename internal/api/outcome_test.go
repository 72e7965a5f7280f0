package api

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Guards against an outcome that changes when it is encoded and decoded.
func TestClaimOutcomeRoundTrip(t *testing.T) {
	for _, body := range [][]byte{nil, []byte(`{"reservation": "<7>"}`), {0xff, 0, 1}, []byte("\u2028é")} {
		is := is.New(t)
		want := ClaimOutcome{Status: 201, ContentType: "application/json", Body: body}
		raw, err := json.Marshal(want)
		is.NoErr(err)
		var got ClaimOutcome
		is.NoErr(json.Unmarshal(raw, &got))
		is.Equal(got, want)
	}
}
