package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/logsink"
)

// respondStream responds to every request with a complete stream of events.
func respondStream(events int) func(req *receivedRequest) {
	var b strings.Builder
	b.WriteString(streamHead)
	for i := range events {
		b.WriteString(eventChunk(i + 1))
	}
	b.WriteString(streamEnd)
	return writeRaw("%s", b.String())
}

// benchmarkRequests sends the same request repeatedly over one connection.
func benchmarkRequests(b *testing.B, request string, script func(req *receivedRequest)) {
	u := newUpstream(b, script)
	benchmarkGateway(b, newTestGateway(b, document(), u), request, http.StatusOK)
}

func benchmarkGateway(b *testing.B, gw *testGateway, request string, status int) {
	nc, err := net.Dial("tcp", gw.address)
	if err != nil {
		b.Fatal(err)
	}
	defer nc.Close()
	br := bufio.NewReader(nc)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(nc, request); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != status {
			b.Fatal(resp.StatusCode, err)
		}
	}
}

const benchmarkHeader = " HTTP/1.1\r\nHost: h\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 2000\r\nX-Token-Usage: 9190,54\r\nX-Prompt-Parts: 5c1e07a2:2520,91bd3f06:3780,e4402b7d:2890\r\nX-Api-Key: asnmgkcuyj8pjbvk9m68\r\nContent-Length: 9000\r\n\r\n"

func BenchmarkStream(b *testing.B) {
	benchmarkRequests(b, "POST /stream/x"+benchmarkHeader+strings.Repeat("x", 9_000), respondStream(7))
}

// BenchmarkPassedOnStream measures a request that is passed on; a stand-in takes the place of the
// other host.
func BenchmarkPassedOnStream(b *testing.B) {
	u := newUpstream(b, respondStream(7))
	gw := newTestGatewayWith(b, accountsDocument(), offloadTo(u.ln.Addr().String()), u)
	gw.server.SetOffloadHosts([]string{"h2"})
	gw.flood("hot", 5_000, 600*time.Millisecond)
	request := "POST /stream/x" + strings.Replace(benchmarkHeader, "asnmgkcuyj8pjbvk9m68", "k1", 1) + strings.Repeat("x", 9_000)
	benchmarkGateway(b, gw, request, http.StatusOK)
	if n := gw.counted("offloaded"); n < int64(b.N) {
		b.Fatalf("%d of %d requests were passed on", n, b.N)
	}
}

func BenchmarkWhole(b *testing.B) {
	benchmarkRequests(b, "POST /read/x"+benchmarkHeader+strings.Repeat("x", 9_000), writeRaw("%s", rawResponse(200, strings.Repeat("y", 800))))
}

// BenchmarkRefusal measures a refusal by an overloaded host, with its log line.
func BenchmarkRefusal(b *testing.B) {
	sink := logsink.New(io.Discard, time.Now, "10.0.0.1")
	defer sink.Close(time.Second)
	log := logrus.New()
	log.SetOutput(sink)
	log.SetFormatter(logsink.Formatter{Sink: sink, Formatter: &logrus.TextFormatter{DisableColors: true, FullTimestamp: true}})
	gw := newTestGatewayWith(b, document(), func(opts *Options) { opts.Log, opts.MaxRunning = log.WithField("part", "gateway"), 1 })
	gw.server.running.Add(1)
	benchmarkGateway(b, gw, "GET /read/x"+strings.Replace(benchmarkHeader, "Content-Length: 9000\r\n", "", 1), http.StatusServiceUnavailable)
}
