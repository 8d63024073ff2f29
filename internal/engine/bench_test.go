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

// BenchmarkStream passes on a streamed answer; each token is one event in a chunk of its
// own. The upstream writes the whole answer at once, so its time is not part of it.
func BenchmarkStream(b *testing.B) {
	for _, tokens := range []int{16, 271, 2048} {
		b.Run(fmt.Sprint("tokens=", tokens), func(b *testing.B) {
			chunk := fmt.Sprintf("%x\r\n%s\r\n", len(tokenEvent), tokenEvent)
			text := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
				strings.Repeat(chunk, tokens) + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
			u := script(b, text)
			cl := New(Options{})
			defer cl.Close()
			r := chat(u.address, true)
			b.ReportAllocs()
			for b.Loop() {
				if res := cl.Do(context.Background(), r, discard{}); res.Err != nil || res.Delivered != tokens {
					b.Fatal(res.Delivered, res.Err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tokens), "ns/token")
			b.ReportMetric(float64(len(tokenEvent)), "B/token")
		})
	}
}

type discard struct{}

func (discard) Begin(int, string, [][2]string) error { return nil }
func (discard) Write([]byte) error                   { return nil }

// BenchmarkLoad polls the load report of an upstream; the bytes are those of HTTP.
func BenchmarkLoad(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	body := `{"instance":"engine-0421-7f3a","running":7,"queued":0}`
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	in := make(chan int, 1)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		counted := &countReader{r: nc}
		br := bufio.NewReader(counted)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(br); err != nil {
				in <- counted.n / max(n, 1)
				return
			}
			if _, err := io.WriteString(nc, text); err != nil {
				return
			}
		}
	}()
	cl := New(Options{})
	b.ReportAllocs()
	for b.Loop() {
		if l, err := cl.Load(context.Background(), ln.Addr().String()); err != nil || l.Running != 7 {
			b.Fatal(l, err)
		}
	}
	cl.Close()
	b.ReportMetric(float64(<-in), "out-B/poll")
	b.ReportMetric(float64(len(text)), "in-B/poll")
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
