package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// ledger counts the runs of each request over all upstreams.
type ledger struct {
	mu   sync.Mutex
	rng  *rand.Rand
	runs map[string]int
}

func (l *ledger) run(s *seen) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[s.Header.Get("X-Request-Id")]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// fail draws what an upstream does with one request: it fails at some point of the path,
// or answers.
func (l *ledger) fail(s *seen) {
	l.mu.Lock()
	kind, pause := l.rng.Intn(14), time.Duration(l.rng.Intn(3))*time.Millisecond
	l.mu.Unlock()
	ran := func(then ...func(s *seen)) {
		l.run(s)
		time.Sleep(pause)
		for _, f := range then {
			f(s)
		}
	}
	answer := whole(200, "done")
	switch kind {
	case 0:
		hangUp(s) // not run, and no proof of it
	case 1:
		reset(s)
	case 2:
		say("HTTP/1.1 503 X\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n")(s)
	case 3:
		say("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")(s)
	case 4:
		say("HTTP/1.1 429 X\r\nX-Not-Run: true\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")(s)
		hangUp(s)
	case 5:
		ran(hangUp)
	case 6:
		ran(reset)
	case 7:
		ran(say("%s", answer[:len(answer)/2]), hangUp)
	case 8:
		ran(say("%s", answer[:len(answer)-2]), reset)
	case 9:
		ran(say("%s", whole(500, "broken")))
	case 10:
		ran(say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")) // without proof
	case 11:
		ran(say("\x00\x01 no answer"), hangUp)
	case 12:
		ran(say("%s%s", answer, answer)) // bytes beyond the answer
	default:
		ran(say("%s", answer))
	}
}

// Guards against a non-idempotent request that runs twice, or that runs although its caller
// was told that it has not: thousands of them meet upstreams that fail at every point of
// the path, callers that leave, and connections that are reused after all of that.
func TestNonIdempotentThroughFailures(t *testing.T) {
	c := qt.New(t)
	l := &ledger{rng: rand.New(rand.NewSource(3)), runs: map[string]int{}}
	var ups []*upstream
	for range 4 {
		ups = append(ups, newUpstream(t, l.fail))
	}
	st := newStage(t, document(), ups...)
	const callers, each = 8, 400
	status := make([]map[string]int, callers)
	var work sync.WaitGroup
	for n := range callers {
		status[n] = map[string]int{}
		work.Add(1)
		go func() {
			defer work.Done()
			rng := rand.New(rand.NewSource(int64(n)))
			for i := range each {
				id := fmt.Sprintf("o%d-%d", n, i)
				kind := []string{"order", "stream"}[rng.Intn(2)]
				status[n][id] = sendOnce(st.address, kind, id, rng)
			}
		}()
	}
	work.Wait()
	ended := map[int]int{}
	for _, list := range status {
		for id, s := range list {
			ended[s]++
			c.Check(l.count(id) <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, l.count(id)))
			if s == 503 || s == 429 || s == 408 || s == 421 {
				c.Check(l.count(id), qt.Equals, 0, qt.Commentf("%s was answered %d", id, s))
			}
			if s == 200 {
				c.Check(l.count(id), qt.Equals, 1, qt.Commentf("%s was answered 200", id))
			}
		}
	}
	for _, s := range []int{0, 200, 502, 503} {
		c.Check(ended[s] > 0, qt.IsTrue, qt.Commentf("no request ended with %d: %v", s, ended))
	}
}

// sendOnce sends a request on a connection of its own and returns the status, 0 when the
// caller left or the connection ended without an answer.
func sendOnce(address, kind, id string, rng *rand.Rand) int {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer nc.Close()
	body := strings.Repeat("b", rng.Intn(20_000))
	if _, err := fmt.Fprintf(nc, "POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", kind, id, len(body), body); err != nil {
		return 0
	}
	if rng.Intn(10) == 0 {
		time.Sleep(time.Duration(rng.Intn(2_000)) * time.Microsecond)
		return 0
	}
	_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
