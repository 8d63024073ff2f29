package admission

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
)

// lockedBuffer is a bytes.Buffer that several goroutines may use.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// logOf has a host log to a buffer, and returns the buffer.
func (n *network) logOf(host string) *lockedBuffer {
	b := &lockedBuffer{}
	log := logrus.New()
	log.SetOutput(b)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true})
	n.hosts[host].opts.Log = log
	return b
}

// Guards against a refusal by the gate of another host of which neither host says who refused it
// and why.
func TestRefusalOfAnotherHostIsExplained(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b")
	log := n.logOf("b")
	x := n.instanceOwnedBy("b")
	n.synchronous = true
	first, err := n.hosts["a"].Admit(context.Background(), request(x, 100_000))
	c.Assert(err, qt.IsNil)
	defer first.Done()
	r := request(x, 100_000)
	r.RequestID, r.LastAttempt, r.Rank = "abc", true, dispatch.WithinCurrentShare
	_, err = n.hosts["a"].Admit(context.Background(), r)
	c.Assert(fault.CodeOf(err), qt.Equals, fault.QueueFull)
	c.Assert(r.Gate.Owner, qt.Equals, "b")
	c.Assert(r.Gate.Result, qt.Equals, GateRefused)
	got := r.Gate.Refusal
	c.Assert(got.Reason, qt.Equals, dispatch.RefusedLate)
	c.Assert(got.Running, qt.Equals, 1)
	c.Assert(got.Tokens, qt.Equals, 100_000)
	c.Assert(got.UnreadTokens > 90_000 && got.UnreadTokens <= 100_000, qt.IsTrue, qt.Commentf("%+v", got))
	c.Assert(got.Expected > got.Limit && got.Limit > time.Second, qt.IsTrue, qt.Commentf("%+v", got))
	c.Assert(got.PerMs > 0, qt.IsTrue)
	for _, field := range []string{"request=abc", "from=a", "gate_seq=2", "instance=" + x.ID, "gate_reason=would_be_late", "rank=within_current_share", "gate_running=1", "gate_prompt_tokens=100000", "gate_limit_ms=", "gate_expected_ms=", "gate_unread_tokens="} {
		c.Check(log.text(), qt.Contains, field)
	}
	c.Check(strings.Count(log.text(), "\n"), qt.Equals, 1)
}

// Guards against lines about requests that another engine may still serve, and against a second
// line on the host whose own request it is.
func TestOwnerLogsOnlyRefusalsThatEndARequestOfAnotherHost(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b")
	n.synchronous = true
	log := n.logOf("b")
	x := n.instanceOwnedBy("b")
	first, err := n.hosts["a"].Admit(context.Background(), request(x, 400_000))
	c.Assert(err, qt.IsNil)
	defer first.Done()
	for _, test := range []struct {
		host string
		last bool
	}{{"a", false}, {"b", true}} {
		r := request(x, 1_000)
		r.RequestID, r.LastAttempt = "abc", test.last
		_, err = n.hosts[test.host].Admit(context.Background(), r)
		c.Assert(fault.CodeOf(err), qt.Equals, fault.QueueFull)
		c.Assert(r.Gate.Refusal, qt.IsNotNil)
	}
	c.Assert(log.text(), qt.Equals, "")
}

// Guards against a request that its gate drops from the queue with "after 0s" as its cause, and
// against dropping it without saying why.
func TestRequestDroppedFromTheQueueIsExplained(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b")
	n.synchronous = true
	log := n.logOf("b")
	x := n.instanceOwnedBy("b")
	first, err := n.hosts["a"].Admit(context.Background(), request(x, 50_000))
	c.Assert(err, qt.IsNil)
	defer first.Done()
	r := request(x, 1_000)
	r.RequestID, r.LastAttempt = "abc", true
	dropped := make(chan error, 1)
	go func() { _, err := n.hosts["a"].Admit(context.Background(), r); dropped <- err }()
	for len(n.hosts["b"].Loads()) == 0 || n.waitingAt("b") == 0 {
		time.Sleep(time.Millisecond)
	}
	n.hosts["b"].Tick(time.Now().Add(10 * time.Second))
	err = <-dropped
	c.Assert(fault.As(err).Message(), qt.Not(qt.Contains), "0s")
	c.Assert(r.Gate.Refusal.Reason, qt.Equals, dispatch.RefusedFromQueue)
	c.Assert(log.text(), qt.Contains, "gate_reason=dropped_from_queue")
	c.Assert(log.text(), qt.Contains, "request=abc")
}

// waitingAt counts the requests that wait at the gates of a host.
func (n *network) waitingAt(host string) (waiting int) {
	a := n.hosts[host]
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, g := range a.gates {
		waiting += g.Waiting()
	}
	return waiting
}

// Guards against long ids of callers that lengthen each message to the owner of a gate, and
// against ids in messages that lead to no line.
func TestRequestIDsInMessagesAreBounded(t *testing.T) {
	c := qt.New(t)
	a := newNetwork("a").hosts["a"]
	p := &Permit{a: a, request: &Request{RequestID: strings.Repeat("x", maxRequestIDBytes), LastAttempt: true}}
	c.Assert(a.requestMessage(p).RequestID, qt.HasLen, maxRequestIDBytes)
	p.request.RequestID += "x"
	c.Assert(a.requestMessage(p).RequestID, qt.Equals, "")
	p.request.RequestID, p.request.LastAttempt = "x", false
	c.Assert(a.requestMessage(p).RequestID, qt.Equals, "")
}
