package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// costCallersEnv makes the test binary the callers and the upstream of BenchmarkHostTime, in a process of
// their own, so that the benchmark measures the host alone.
const costCallersEnv = "GATEWAY_COST_CALLERS"

// costEvents is the number of events of a response, costEventGap the time between them.
const (
	costEvents   = 20
	costEventGap = 2 * time.Millisecond
	costCallers  = 64
)

func TestMain(m *testing.M) {
	if os.Getenv(costCallersEnv) != "" {
		runCostCallers()
		return
	}
	os.Exit(m.Run())
}

// runCostCallers serves as the upstream and sends the requests that its standard input names.
func runCostCallers() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	u := &upstream{ln: ln, scripts: []func(*receivedRequest){slowEvents}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	fmt.Println(ln.Addr())
	var address, kind string
	var n int
	for {
		if _, err := fmt.Scan(&address, &kind, &n); err != nil {
			return
		}
		done := make(chan struct{})
		for i := range costCallers {
			go func() {
				callRepeatedly(address, kind, (n+i)/costCallers)
				done <- struct{}{}
			}()
		}
		for range costCallers {
			<-done
		}
		fmt.Println("done")
	}
}

func slowEvents(req *receivedRequest) {
	_, _ = io.WriteString(req.conn, streamHead)
	for i := range costEvents {
		time.Sleep(costEventGap)
		_, _ = io.WriteString(req.conn, eventChunk(i+1))
	}
	_, _ = io.WriteString(req.conn, streamEnd)
}

// callRepeatedly sends n requests: on a "kept" connection, each on a "new" one, or each on a new one that the caller
// has "left" before a response.
func callRepeatedly(address, kind string, n int) {
	request := "POST /stream/x" + strings.Replace(benchmarkHeader, "asnmgkcuyj8pjbvk9m68", "k1", 1) + strings.Repeat("x", 9_000)
	var nc net.Conn
	var br *bufio.Reader
	for range n {
		if nc == nil || kind != "kept" {
			var err error
			if nc, err = net.Dial("tcp", address); err != nil {
				panic(err)
			}
			br = bufio.NewReader(nc)
		}
		if _, err := io.WriteString(nc, request); err != nil {
			panic(err)
		}
		if kind == "left" {
			nc.Close()
			continue
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			panic(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if kind == "new" {
			nc.Close()
		}
	}
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails only for invalid arguments
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startCostCallers starts the process of the callers and returns its pipes and the address of its upstream.
func startCostCallers(b *testing.B) (in io.Writer, out io.Reader, address string) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), costCallersEnv+"=1")
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	if out, err = cmd.StdoutPipe(); err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		stdin.Close()
		_ = cmd.Wait()
	})
	if _, err := fmt.Fscan(out, &address); err != nil {
		b.Fatal(err)
	}
	return stdin, out, address
}

// BenchmarkHostTime measures the processor time that a host spends on a request, by what it does with it.
func BenchmarkHostTime(b *testing.B) {
	in, out, address := startCostCallers(b)
	u := &upstream{ln: addressListener(address)}
	measure := func(name, kind string, gw func(b *testing.B) *testGateway) {
		b.Run(name, func(b *testing.B) {
			g := gw(b)
			begun := processorTime()
			fmt.Fprintln(in, g.address, kind, b.N)
			var done string
			if _, err := fmt.Fscan(out, &done); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64((processorTime()-begun).Microseconds())/float64(b.N), "processor-µs/op")
		})
	}
	measure("refused_connection", "new", func(b *testing.B) *testGateway {
		gw := newTestGatewayWith(b, accountsDocument(), quiet, u)
		gw.overload()
		return gw
	})
	measure("connection_that_its_caller_left", "left", func(b *testing.B) *testGateway {
		gw := newTestGatewayWith(b, accountsDocument(), quiet, u)
		gw.overload()
		b.Cleanup(func() {
			b.Logf("%d of %d had been left before they were accepted", gw.counted("shed_abandoned"), b.N)
		})
		return gw
	})
	measure("refused_request_on_new_connection", "new", func(b *testing.B) *testGateway { return newLimitedGateway(b, u, quiet) })
	measure("refused_request", "kept", func(b *testing.B) *testGateway { return newLimitedGateway(b, u, quiet) })
	isolated := func(b *testing.B) *testGateway {
		gw := newLimitedGateway(b, u, quiet)
		gw.setView(func(v *View) { v.Age = time.Minute })
		return gw
	}
	measure("refused_by_isolated_host", "kept", isolated)
	measure("refused_by_isolated_host_on_new_connection", "new", isolated)
	leaving := func(b *testing.B) *testGateway {
		gw := newLimitedGateway(b, u, quiet)
		gw.setView(func(v *View) { v.Leaving = true })
		return gw
	}
	measure("refused_by_leaving_host", "new", leaving)
	passing := func(b *testing.B) *testGateway {
		gw := newTestGatewayWith(b, accountsDocument(), offloadTo(address), u)
		gw.server.SetOffloadHosts([]string{"h2"})
		gw.flood("hot", 5_000, 600*time.Millisecond)
		return gw
	}
	measure("passed_on", "kept", passing)
	measure("passed_on_on_new_connection", "new", passing)
	measure("served", "kept", func(b *testing.B) *testGateway { return newTestGatewayWith(b, document(), quiet, u) })
}

// addressListener is the listener of an upstream in another process.
type addressListener string

func (l addressListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (l addressListener) Close() error              { return nil }
func (l addressListener) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", string(l))
	return a
}
