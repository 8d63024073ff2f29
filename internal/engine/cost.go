package engine

import (
	"bytes"
	"encoding/json"
	"time"

	"marigoldshunt/internal/config"
)

// inputTokensPerUnit is the number of input tokens that cost as much as one output token.
const inputTokensPerUnit = 8

// bytesPerToken estimates tokens from text where an engine reports no usage.
const bytesPerToken = 4

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
}

// parseUsage finds the usage object of a chat answer or event.
func parseUsage(b []byte) (usage, bool) {
	if !bytes.Contains(b, []byte(`"usage"`)) {
		return usage{}, false
	}
	var v struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(b, &v) != nil || v.Usage == nil || v.Usage.Prompt < 0 || v.Usage.Completion < 0 {
		return usage{}, false
	}
	return *v.Usage, true
}

func (u usage) cost() float64 {
	return float64(u.Prompt)/inputTokensPerUnit + float64(u.Completion)
}

// estimate returns the cost of a chat request without usage.
func estimate(body []byte, output int) float64 {
	return float64(len(body))/bytesPerToken/inputTokensPerUnit + float64(output)
}

// serviceCost returns milliseconds of upstream time for services.
func serviceCost(p config.Pool, run time.Duration) (float64, bool) {
	if p.Kind != config.KindService {
		return 0, false
	}
	return float64(run) / float64(time.Millisecond), true
}
