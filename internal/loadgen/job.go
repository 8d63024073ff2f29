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

// job is one request with what its answer must show.
type job struct {
	work   Work
	method string
	path   string
	body   []byte
	// user identifies the request in the answer of a model, path in that of a service.
	user string
	key  string
}

// pick chooses a work by share.
func pick(mix []Work, rng *rand.Rand) Work {
	total := 0.0
	for _, w := range mix {
		total += share(w)
	}
	x := rng.Float64() * total
	for _, w := range mix {
		if x -= share(w); x < 0 {
			return w
		}
	}
	return mix[len(mix)-1]
}

func share(w Work) float64 {
	if w.Share <= 0 {
		return 1
	}
	return w.Share
}

func makeJob(a Account, w Work, rng *rand.Rand, worker, n int, now time.Time) *job {
	j := &job{work: w, user: fmt.Sprintf("%s-%d-%d-%08x", a.Name, worker, n, rng.Uint32())}
	if w.Kind == config.KindService {
		j.method = w.Method
		if j.method == "" {
			j.method = http.MethodGet
		}
		j.path = strings.TrimSuffix(w.Path, "/") + "/" + j.user
		if w.BodyBytes > 0 || w.Text != "" {
			j.body = []byte(w.Text + strings.Repeat("x", w.BodyBytes))
		}
		if w.Keyed {
			j.key = newKey(rng, now)
		}
		return j
	}
	j.method, j.path = http.MethodPost, "/v1/chat/completions"
	prefix := ""
	if w.Prefixes > 0 {
		prefix = fmt.Sprintf("prefix %d ", rng.Intn(w.Prefixes))
	}
	body := map[string]any{
		"model": w.Pool, "stream": w.Stream, "user": j.user,
		"messages": []map[string]string{
			{"role": "system", "content": prefix + strings.Repeat("x", w.PromptBytes)},
			{"role": "user", "content": w.Text + j.user},
		},
	}
	if w.MaxTokens > 0 {
		body["max_tokens"] = w.MaxTokens
	}
	j.body, _ = json.Marshal(body)
	return j
}

// newKey returns a seeded UUID version 7.
func newKey(rng *rand.Rand, now time.Time) string {
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
