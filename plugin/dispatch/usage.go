package dispatch

import (
	"bytes"
	"encoding/json"
)

// promptTokenCost is the cost of a prompt token in cost units. A generated token
// costs 1.
const promptTokenCost = 0.1

// usage is the part of an engine's response or event that contains token counts.
type usage struct {
	Usage *struct {
		Prompt     float64 `json:"prompt_tokens"`
		Completion float64 `json:"completion_tokens"`
	} `json:"usage"`
}

// usageCost returns the actual cost, in cost units, from an engine's JSON response
// or event. It returns false if data contains no valid usage.
func usageCost(data []byte) (float64, bool) {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return 0, false
	}
	var u usage
	if err := json.Unmarshal(data, &u); err != nil || u.Usage == nil {
		return 0, false
	}
	if u.Usage.Prompt < 0 || u.Usage.Completion < 0 {
		return 0, false
	}
	return u.Usage.Completion + promptTokenCost*u.Usage.Prompt, true
}
