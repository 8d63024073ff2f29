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
	spec   Work
	method string
	path   string
	body   []byte
	// user identifies the request in the response of a model, path in that of a service.
	user string
	key  string
}

// pickWork chooses a kind of request at random, weighted by share.
func pickWork(mix []Work, rng *rand.Rand) Work {
	total := 0.0
	for _, w := range mix {
		total += shareOf(w)
	}
	x := rng.Float64() * total
	for _, w := range mix {
		if x -= shareOf(w); x < 0 {
			return w
		}
	}
	return mix[len(mix)-1]
}

func shareOf(w Work) float64 {
	if w.Share <= 0 {
		return 1
	}
	return w.Share
}

func newRequest(a Account, w Work, rng *rand.Rand, worker, n int, now time.Time) *request {
	q := &request{spec: w, user: fmt.Sprintf("%s-%d-%d-%08x", a.Name, worker, n, rng.Uint32())}
	if w.Kind == config.KindService {
		q.method = w.Method
		if q.method == "" {
			q.method = http.MethodGet
		}
		q.path = strings.TrimSuffix(w.Path, "/") + "/" + q.user
		if w.BodyBytes > 0 || w.Text != "" {
			q.body = []byte(w.Text + strings.Repeat("x", w.BodyBytes))
		}
		if w.Keyed {
			q.key = newIdempotencyKey(rng, now)
		}
		return q
	}
	q.method, q.path = http.MethodPost, "/v1/chat/completions"
	prefix := ""
	if w.Prefixes > 0 {
		prefix = fmt.Sprintf("prefix %d ", rng.Intn(w.Prefixes))
	}
	body := map[string]any{
		"model": w.Pool, "stream": w.Stream, "user": q.user,
		"messages": []map[string]string{
			{"role": "system", "content": prefix + strings.Repeat("x", w.PromptBytes)},
			{"role": "user", "content": w.Text + q.user},
		},
	}
	if w.MaxTokens > 0 {
		body["max_tokens"] = w.MaxTokens
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
