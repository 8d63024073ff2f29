package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
)

// BenchmarkTokens streams a response to a caller over loopback, one event at a time.
func BenchmarkTokens(b *testing.B) {
	const event = `data: {"id":"c1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":" word"}}]}` + "\n\n"
	for _, tokens := range []int{16, 271, 2048} {
		b.Run(fmt.Sprint("tokens=", tokens), func(b *testing.B) {
			ts := startServer(b, Options{}, func(_ context.Context, _ *Call, w ResponseWriter) error {
				if err := w.Begin(200, "text/event-stream", nil); err != nil {
					return err
				}
				for range tokens {
					if err := w.Write([]byte(event)); err != nil {
						return err
					}
				}
				return nil
			})
			nc := ts.dial()
			br := bufio.NewReader(nc)
			request := fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", chatPath, authHeaders, len(chatJSON), chatJSON)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(nc, request)
				r, err := http.ReadResponse(br, nil)
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, r.Body); err != nil || n != int64(tokens*len(event)) {
					b.Fatal(n, err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tokens), "ns/token")
		})
	}
}
