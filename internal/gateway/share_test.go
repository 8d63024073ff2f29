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
	u := newUpstream(t, func(req *receivedRequest) {
		if req.Header.Get("X-Slow") != "" {
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
	for i := range maxRunning {
		select {
		case status := <-statuses:
			gw.Check(status, qt.Equals, 503)
		case <-time.After(testTimeout):
			t.Fatalf("%d requests were refused", i)
		}
	}
	for end := time.Now().Add(testTimeout); gw.server.Running() >= maxRunning; time.Sleep(time.Millisecond) {
		gw.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("one account holds %d of %d places", gw.server.Running(), maxRunning))
	}
	resp, _, _ := gw.do("GET", "/read/x", "", "X-Api-Key: k2")
	gw.Check(resp.StatusCode, qt.Equals, 200)
}
