package dispatch

import (
	"bytes"
	"encoding/json"
)

// promptShare is the cost of a prompt token in generated tokens.
const promptShare = 0.1

type usage struct {
	Usage *struct {
		Prompt     float64 `json:"prompt_tokens"`
		Completion float64 `json:"completion_tokens"`
	} `json:"usage"`
}

// usageCost reads the true cost in cost units from an engine's JSON answer or
// event. It reports false if there is no valid usage in it.
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
	return u.Usage.Completion + promptShare*u.Usage.Prompt, true
}
