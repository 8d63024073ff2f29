package scenario

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"marigoldshunt/internal/emulator"
	"marigoldshunt/internal/native"
)

// soakOutput is the number of tokens of each stream, soakEvents that of its events.
const (
	soakOutput = 40
	soakEvents = (soakOutput + 5) / 6
)

// ending is what a caller saw of one request.
type ending struct {
	id, kind, host string
	credential     string
	sent, ended    time.Time
	status         int
	// whole means that the answer ended as the protocol says; cut that the connection ended
	// without an answer or inside one.
	whole, cut, left bool
	// broken says what is wrong with the answer.
	broken string
}

// callers send requests until they are stopped and keep the endings.
type callers struct {
	f    *soakFleet
	stop chan struct{}
	work sync.WaitGroup

	mu      sync.Mutex
	endings []ending
	seq     int
}

// callerPause is the mean time between two requests of one caller.
const callerPause = 30 * time.Millisecond

func (c *callers) start(n int, seed int64) {
	c.stop = make(chan struct{})
	for i := range n {
		rng := rand.New(rand.NewSource(seed<<8 + int64(i)))
		c.work.Add(1)
		go func() {
			defer c.work.Done()
			s := &caller{c: c, rng: rng, dataCentre: dataCentreOf(i)}
			s.http = &http.Client{Transport: &http.Transport{DisableCompression: true}}
			defer s.http.CloseIdleConnections()
			for s.pause() {
				s.one()
			}
		}()
	}
}

func (c *callers) end() {
	close(c.stop)
	c.work.Wait()
}

func (c *callers) note(e ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endings = append(c.endings, e)
}

func (c *callers) id(kind string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	return fmt.Sprintf("%s-%d", kind, c.seq)
}

// caller is one client with its own connections and its kept answer of discovery.
type caller struct {
	c          *callers
	rng        *rand.Rand
	http       *http.Client
	dataCentre string
	addresses  []string
	keepTill   time.Time
}

func (s *caller) pause() bool {
	select {
	case <-s.c.stop:
		return false
	case <-time.After(time.Duration(s.rng.ExpFloat64() * float64(callerPause))):
		return true
	}
}

// discover asks up to three hosts where to connect.
func (s *caller) discover() bool {
	if time.Now().Before(s.keepTill) && len(s.addresses) > 0 {
		return true
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range s.rng.Perm(soakHosts)[:3] {
		resp, err := client.Get("http://" + s.c.f.at(s.c.f.hosts[i].ip, portDiscovery) + "/v1/connect?data_centre=" + s.dataCentre)
		if err != nil {
			continue
		}
		var d native.Directory
		err = json.NewDecoder(resp.Body).Decode(&d)
		resp.Body.Close()
		if err == nil && len(d.Addresses) > 0 {
			s.addresses, s.keepTill = d.Addresses, time.Now().Add(time.Duration(d.KeepForMS)*time.Millisecond)
			return true
		}
	}
	return len(s.addresses) > 0
}

func (s *caller) one() {
	if !s.discover() {
		return
	}
	kind := []string{"orders", "reads", "events", "events/once"}[s.rng.Intn(4)]
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	defer cancel()
	if s.rng.Intn(12) == 0 {
		// Some callers leave early.
		time.AfterFunc(time.Duration(s.rng.Intn(60))*time.Millisecond, cancel)
	}
	e := s.send(ctx, s.addresses[s.rng.Intn(len(s.addresses))], kind, soakCredential)
	if s.c.note(e); e.cut {
		s.keepTill = time.Time{}
	}
}

// Times of requests: the route's timeout, and when the harness gives up.
const (
	routeTime   = 4 * time.Second
	requestTime = routeTime + 3*time.Second
)

// send sends one request to a host and checks its answer.
func (s *caller) send(ctx context.Context, address, kind, credential string) ending {
	e := ending{id: s.c.id(strings.ReplaceAll(kind, "/", "_")), kind: kind, host: address, credential: credential, sent: time.Now()}
	body := strings.Repeat("x", 10+s.rng.Intn(2_000))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+kind+"/"+e.id, strings.NewReader(body))
	if err != nil {
		e.broken = err.Error()
		return e
	}
	// Without GetBody the transport can't send a request again by itself.
	req.GetBody = nil
	req.Host = "soak.example"
	req.Header.Set("X-Request-Id", e.id)
	req.Header.Set("X-Api-Key", credential)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(routeTime.Milliseconds())))
	if strings.HasPrefix(kind, "events") {
		shared, own := 1+s.rng.Intn(5), s.rng.Intn(1<<30)
		req.Header.Set("X-Prompt-Parts", fmt.Sprintf("%x:2000,%x:%d", shared, 1<<40+own, 50+s.rng.Intn(500)))
		req.Header.Set("X-Token-Usage", fmt.Sprintf("2300,%d", soakOutput))
	}
	resp, err := s.http.Do(req)
	if err == nil {
		e.status = resp.StatusCode
		err = e.check(resp, len(body))
		resp.Body.Close()
	}
	e.ended = time.Now()
	e.left = errors.Is(ctx.Err(), context.Canceled)
	e.whole, e.cut = err == nil, err != nil && !e.left
	return e
}

// check reads an answer. It returns an error if the connection ended inside it.
func (e *ending) check(resp *http.Response, sent int) error {
	if id := resp.Header.Get("X-Request-Id"); id != e.id {
		e.broken = fmt.Sprintf("answer to %q", id)
	}
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		return err
	}
	if strings.HasPrefix(e.kind, "events") {
		return e.checkEvents(resp.Body)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var a emulator.ServiceAnswer
	if json.Unmarshal(b, &a) != nil || a.ID != e.id || a.Bytes != sent || a.Path != "/"+e.kind+"/"+e.id {
		e.broken = fmt.Sprintf("answer %q", b)
	}
	return nil
}

// checkEvents reads a stream whose events must follow each other without gaps.
func (e *ending) checkEvents(body io.Reader) error {
	sc := bufio.NewScanner(body)
	events, complete := 0, true
	for sc.Scan() {
		line := sc.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			events++
			complete = false
			if line != fmt.Sprint("id: ", events) {
				e.broken = fmt.Sprintf("event %q in place %d", line, events)
			}
		case strings.HasPrefix(line, "data: "):
			if line != "data: "+emulator.Token(e.id, events) {
				e.broken = fmt.Sprintf("event %d says %q", events, line)
			}
		case line == "":
			complete = true
		}
	}
	if sc.Err() == nil && (events != soakEvents || !complete) {
		e.broken = fmt.Sprintf("a stream of %d events looks complete", events)
	}
	return sc.Err()
}
