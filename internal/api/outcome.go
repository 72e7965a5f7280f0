package api

import (
	"encoding/json"
	"unicode/utf8"
)

// outcomeForm is the JSON form of a ClaimOutcome. A body of text is kept as
// text, which is shorter than base64 and compresses better.
type outcomeForm struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Text        string `json:"text,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (o ClaimOutcome) MarshalJSON() ([]byte, error) {
	f := outcomeForm{Status: o.Status, ContentType: o.ContentType, Truncated: o.Truncated}
	if utf8.Valid(o.Body) {
		f.Text = string(o.Body)
	} else {
		f.Body = o.Body
	}
	return json.Marshal(f)
}

// UnmarshalJSON implements json.Unmarshaler.
func (o *ClaimOutcome) UnmarshalJSON(raw []byte) error {
	var f outcomeForm
	if err := json.Unmarshal(raw, &f); err != nil {
		return err
	}
	*o = ClaimOutcome{Status: f.Status, ContentType: f.ContentType, Body: f.Body, Truncated: f.Truncated}
	if f.Text != "" {
		o.Body = []byte(f.Text)
	}
	return nil
}
