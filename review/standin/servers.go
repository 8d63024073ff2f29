package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is one server of a service. It works as PROTOCOL.md tells.
type server struct {
	f                 *fleet
	id, service, zone string
	ip                string
	slots             int
	cold              time.Time

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]bool
	running int
	state   string
	born    int64
	// handle answers a request after its head and body were read.
	handle func(s *server, c net.Conn, r *http.Request, body []byte) (keep bool)
	runs   *runs
}

// run is one run of a request at a server.
type run struct {
	at     time.Time
	id     string
	server *server
	method string
	target string
	tenant string
	header http.Header
	body   string
}

type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (f *fleet) newServer(service, zone string, number int, r *runs) *server {
	s := &server{f: f, id: "i-" + newID()[:8], service: service, zone: zone, ip: fmt.Sprintf("%s%d", f.net, 100+number), slots: 64, conns: map[net.Conn]bool{}, state: "ready", runs: r, born: time.Now().UnixMilli()}
	s.handle = (*server).plain
	s.listen()
	atEnd(s.crash)
	return s
}

func (s *server) listen() {
	ln, err := net.Listen("tcp", addr(s.ip, portServer))
	if err != nil {
		couldNotRun("server: %v", err)
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
}

// crash ends the server: its port closes and its connections are reset.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		s.ln.Close()
		s.ln = nil
	}
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.conns = map[net.Conn]bool{}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body := make([]byte, 0)
		buf := make([]byte, 32<<10)
		for {
			n, err := r.Body.Read(buf)
			body = append(body, buf[:n]...)
			if err != nil {
				break
			}
		}
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"))
			continue
		}
		if strings.HasPrefix(r.URL.Path, "/healthz") {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		s.runs.add(run{at: time.Now(), id: r.Header.Get("X-Attempt-Id"), server: s, method: r.Method, target: r.RequestURI, tenant: r.Header.Get("X-Tenant"), header: r.Header, body: string(body)})
		s.f.rec.log("%s (%s, %s) runs %s: %s %s tenant %q", s.id, s.service, s.zone, r.Header.Get("X-Attempt-Id"), r.Method, r.RequestURI, r.Header.Get("X-Tenant"))
		if !s.handle(s, c, r, body) {
			return
		}
	}
}

func (s *server) headOf(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("X-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nX-Server-Load: %d,0,%d\r\n", r.Header.Get("X-Attempt-Id"), s.id, newID()[:4], s.running, s.slots)
}

// plain answers after 20 ms.
func (s *server) plain(c net.Conn, r *http.Request, _ []byte) bool {
	time.Sleep(20 * time.Millisecond)
	b := "answer of " + s.id + " to " + r.Header.Get("X-Attempt-Id") + "\n"
	if r.Method == "HEAD" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", s.headOf(r), len(b))
		return true
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", s.headOf(r), len(b), b)
	return err == nil
}

// platform answers for the list of servers.
type platform struct {
	f       *fleet
	mu      sync.Mutex
	servers []*server
	// lag is how old the list is.
	lag     time.Duration
	history []listing
}

type listing struct {
	at   time.Time
	body []byte
}

func (f *fleet) startPlatform(lag time.Duration, servers ...*server) *platform {
	p := &platform{f: f, servers: servers, lag: lag}
	p.changed()
	p.history[0].at = time.Now().Add(-time.Hour)
	ln, err := net.Listen("tcp", f.platformAddress())
	if err != nil {
		couldNotRun("platform: %v", err)
	}
	atEnd(func() { ln.Close() })
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			p.mu.Lock()
			defer p.mu.Unlock()
			var body []byte
			for _, l := range p.history {
				if time.Since(l.at) >= p.lag {
					body = l.body
				}
			}
			_, _ = w.Write(body)
		}))
	}()
	return p
}

// changed records the present state of the servers, which the list shows after its lag.
func (p *platform) changed() {
	var list []map[string]any
	for _, s := range p.servers {
		s.mu.Lock()
		if s.state != "gone" {
			list = append(list, map[string]any{"id": s.id, "born": s.born, "service": s.service, "address": addr(s.ip, portServer), "zone": s.zone, "version": "v1",
				"slots": s.slots, "state": s.state, "cold_remaining_ms": max(time.Until(s.cold).Milliseconds(), 0), "stage": "mixed", "models": []any{}})
		}
		s.mu.Unlock()
	}
	body, _ := json.Marshal(map[string]any{"instances": list, "next_token": nil})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, listing{time.Now(), body})
}
