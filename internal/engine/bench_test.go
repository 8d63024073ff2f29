package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

const tokenEvent = `data: {"id":"c1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":" word"}}]}` + "\n\n"

// BenchmarkStream passes on a streamed response; each token is one event in its own chunk.
// The upstream writes the whole response at once, so the time to produce tokens is not
// measured.
func BenchmarkStream(b *testing.B) {
	for _, tokens := range []int{16, 271, 2048} {
		b.Run(fmt.Sprint("tokens=", tokens), func(b *testing.B) {
			chunk := fmt.Sprintf("%x\r\n%s\r\n", len(tokenEvent), tokenEvent)
			response := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
				strings.Repeat(chunk, tokens) + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
			u := startScripted(b, response)
			cl := New(Options{})
			defer cl.Close()
			r := chatRequest(u.address, true)
			b.ReportAllocs()
			for b.Loop() {
				if res := cl.Do(context.Background(), r, discardSink{}); res.Err != nil || res.DeliveredEvents != tokens {
					b.Fatal(res.DeliveredEvents, res.Err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tokens), "ns/token")
			b.ReportMetric(float64(len(tokenEvent)), "B/token")
		})
	}
}

type discardSink struct{}

func (discardSink) Begin(int, string, [][2]string) error { return nil }
func (discardSink) Write([]byte) error                   { return nil }

// BenchmarkLoad polls the load report of an upstream. It counts the bytes of HTTP.
func BenchmarkLoad(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	body := `{"instance":"engine-0421-7f3a","running":7,"queued":0}`
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	requestBytes := make(chan int, 1)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		counter := &countReader{r: nc}
		br := bufio.NewReader(counter)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(br); err != nil {
				requestBytes <- counter.n / max(n, 1)
				return
			}
			if _, err := io.WriteString(nc, response); err != nil {
				return
			}
		}
	}()
	cl := New(Options{})
	b.ReportAllocs()
	for b.Loop() {
		if l, err := cl.FetchLoad(context.Background(), ln.Addr().String()); err != nil || l.Running != 7 {
			b.Fatal(l, err)
		}
	}
	cl.Close()
	b.ReportMetric(float64(<-requestBytes), "out-B/poll")
	b.ReportMetric(float64(len(response)), "in-B/poll")
}

type countReader struct {
	r io.Reader
	n int
}

func (c *countReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}
