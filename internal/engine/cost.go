package engine

import (
	"bytes"
	"encoding/json"
	"time"

	"marigoldshunt/internal/config"
)

// inputTokensPerOutputToken is the number of input tokens that cost as much as one output
// token. The unit of cost of model pools is one output token.
const inputTokensPerOutputToken = 8

// bytesPerToken is used to estimate the number of tokens if an engine reports no usage.
const bytesPerToken = 4

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
}

// maxUsageTokens bounds the tokens that one response may report.
const maxUsageTokens = 1 << 24

// isPlausible reports whether a count that an upstream names is one that it can have.
func isPlausible(count, limit int) bool { return count >= 0 && count <= limit }

// parseUsage returns the usage object of a chat response or event.
func parseUsage(b []byte) (usage, bool) {
	if !bytes.Contains(b, []byte(`"usage"`)) {
		return usage{}, false
	}
	var v struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(b, &v) != nil || v.Usage == nil || !isPlausible(v.Usage.Prompt, maxUsageTokens) || !isPlausible(v.Usage.Completion, maxUsageTokens) {
		return usage{}, false
	}
	return *v.Usage, true
}

func (u usage) cost() float64 {
	return float64(u.Prompt)/inputTokensPerOutputToken + float64(u.Completion)
}

// estimateCost estimates the cost of a chat request whose response has no usage.
func estimateCost(body []byte, outputTokens int) float64 {
	return float64(len(body))/bytesPerToken/inputTokensPerOutputToken + float64(outputTokens)
}

// serviceCost returns the cost of a request to a plain service: its run time in
// milliseconds. It returns false for other pools.
func serviceCost(p config.Pool, run time.Duration) (float64, bool) {
	if p.Kind != config.KindService {
		return 0, false
	}
	return float64(run) / float64(time.Millisecond), true
}
