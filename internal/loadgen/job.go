package loadgen

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"marigoldshunt/internal/config"
)

// request is one request with what its response must contain.
type request struct {
	spec   RequestSpec
	method string
	path   string
	body   []byte
	// user identifies the request in the response of a model, path in that of a service.
	user string
	key  string
}

// pickRequestSpec chooses a kind of request at random, weighted by share.
func pickRequestSpec(mix []RequestSpec, rng *rand.Rand) RequestSpec {
	total := 0.0
	for _, spec := range mix {
		total += shareOf(spec)
	}
	x := rng.Float64() * total
	for _, spec := range mix {
		if x -= shareOf(spec); x < 0 {
			return spec
		}
	}
	return mix[len(mix)-1]
}

func shareOf(spec RequestSpec) float64 {
	if spec.Share <= 0 {
		return 1
	}
	return spec.Share
}

func newRequest(a Account, spec RequestSpec, rng *rand.Rand, worker, n int, now time.Time) *request {
	q := &request{spec: spec, user: fmt.Sprintf("%s-%d-%d-%08x", a.Name, worker, n, rng.Uint32())}
	if spec.Kind == config.KindService {
		q.method = spec.Method
		if q.method == "" {
			q.method = http.MethodGet
		}
		q.path = strings.TrimSuffix(spec.Path, "/") + "/" + q.user
		if spec.BodyBytes > 0 || spec.Text != "" {
			q.body = []byte(spec.Text + strings.Repeat("x", spec.BodyBytes))
		}
		if spec.Keyed {
			q.key = newIdempotencyKey(rng, now)
		}
		return q
	}
	q.method, q.path = http.MethodPost, "/v1/chat/completions"
	prefix := ""
	if spec.Prefixes > 0 {
		prefix = fmt.Sprintf("prefix %d ", rng.Intn(spec.Prefixes))
	}
	body := map[string]any{
		"model": spec.Pool, "stream": spec.Stream, "user": q.user,
		"messages": []map[string]string{
			{"role": "system", "content": prefix + strings.Repeat("x", spec.PromptBytes)},
			{"role": "user", "content": spec.Text + q.user},
		},
	}
	if spec.MaxTokens > 0 {
		body["max_tokens"] = spec.MaxTokens
	}
	q.body, _ = json.Marshal(body)
	return q
}

// newIdempotencyKey returns a UUID version 7 with random bits from rng.
func newIdempotencyKey(rng *rand.Rand, now time.Time) string {
	var id uuid.UUID
	_, _ = rng.Read(id[:])
	ms := now.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
