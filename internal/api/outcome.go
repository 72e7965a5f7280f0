package api

import (
	"encoding/json"
	"unicode/utf8"
)

// claimOutcomeJSON is the JSON encoding of a ClaimOutcome. A body in valid UTF-8 is
// encoded as text, which is shorter than base64 and compresses better.
type claimOutcomeJSON struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Text        string `json:"text,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (o ClaimOutcome) MarshalJSON() ([]byte, error) {
	f := claimOutcomeJSON{Status: o.Status, ContentType: o.ContentType, Truncated: o.Truncated}
	if utf8.Valid(o.Body) {
		f.Text = string(o.Body)
	} else {
		f.Body = o.Body
	}
	return json.Marshal(f)
}

// UnmarshalJSON implements json.Unmarshaler.
func (o *ClaimOutcome) UnmarshalJSON(raw []byte) error {
	var f claimOutcomeJSON
	if err := json.Unmarshal(raw, &f); err != nil {
		return err
	}
	*o = ClaimOutcome{Status: f.Status, ContentType: f.ContentType, Body: f.Body, Truncated: f.Truncated}
	if f.Text != "" {
		o.Body = []byte(f.Text)
	}
	return nil
}
