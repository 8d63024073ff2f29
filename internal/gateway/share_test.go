package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/routing"
)

// Guards against an account that gets nothing of a host because another one's slow requests
// take all places.
func TestSlowRequestsOfOneAccountLeavePlacesForOthers(t *testing.T) {
	const maxRunning = 32
	d := document()
	d.Accounts = []routing.Account{{Name: "hot", Credentials: []string{"k1"}}, {Name: "small", Credentials: []string{"k2"}}}
	end := make(chan struct{})
	var slow sync.WaitGroup
	defer func() {
		close(end)
		slow.Wait()
	}()
	begun := make(chan struct{}, 2*maxRunning)
	u := newUpstream(t, func(req *receivedRequest) {
		if req.Header.Get("X-Slow") != "" {
			begun <- struct{}{}
			<-end
		}
		writeRaw("%s", rawResponse(200, "ok"))(req)
	})
	gw := newTestGatewayWith(t, d, func(opts *Options) { opts.MaxRunning = maxRunning }, u)
	statuses := make(chan int, 2*maxRunning)
	for range 2 * maxRunning {
		slow.Go(func() {
			resp, _, _ := gw.do("GET", "/read/x", "", "X-Api-Key: k1", "X-Slow: 1")
			if resp == nil {
				resp = &http.Response{}
			}
			statuses <- resp.StatusCode
		})
	}
	// A request that is about to be refused counts as running, so all must have been decided.
	refused := 0
	for i := range 2 * maxRunning {
		select {
		case <-begun:
		case status := <-statuses:
			gw.Check(status, qt.Equals, 503)
			refused++
		case <-time.After(testTimeout):
			t.Fatalf("%d requests were neither refused nor begun", 2*maxRunning-i)
		}
	}
	gw.Check(refused >= maxRunning, qt.IsTrue, qt.Commentf("%d requests were refused", refused))
	for end := time.Now().Add(testTimeout); gw.server.Running() >= maxRunning; time.Sleep(time.Millisecond) {
		gw.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("one account holds %d of %d places", gw.server.Running(), maxRunning))
	}
	resp, _, _ := gw.do("GET", "/read/x", "", "X-Api-Key: k2")
	gw.Check(resp.StatusCode, qt.Equals, 200)
}
