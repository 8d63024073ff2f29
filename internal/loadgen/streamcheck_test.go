package loadgen

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/emulator"
)

// checkText checks a stream of three events for the request q, of which end is the error that ends it.
func checkText(text string, end error) (*RoutedResult, error) {
	r := &RoutedResult{}
	body := io.MultiReader(iotest.OneByteReader(strings.NewReader(text)), iotest.ErrReader(end))
	err := r.checkEvents(body, &RoutedRequest{ID: "q", Events: 3})
	return r, err
}

var whole = events("q", 1, 2, 3)

// Guards against a stream that differs in one byte from what upstreams make and passes as sound.
func TestStreamsAreComparedByteByByte(t *testing.T) {
	for name, x := range map[string]struct {
		text   string
		fault  StreamFault
		events int
	}{
		"whole":                           {whole, "", 3},
		"nothing":                         {"", EarlyEnd, 0},
		"event missing at the end":        {events("q", 1, 2), EarlyEnd, 2},
		"end inside the last event":       {strings.TrimSuffix(whole, "\n"), EarlyEnd, 2},
		"event missing at the begin":      {events("q", 2, 3), MissingEvent, 0},
		"event missing between":           {events("q", 1, 3), MissingEvent, 1},
		"event repeated":                  {events("q", 1, 2, 2, 3), RepeatedEvent, 2},
		"run from the begin":              {events("q", 1, 2, 1, 2, 3), RepeatedEvent, 2},
		"event of another request":        {events("q", 1) + events("p", 2) + events("q", 3), ForeignBytes, 1},
		"event after the last":            {events("q", 1, 2, 3, 4), ForeignBytes, 3},
		"bytes after the last":            {whole + "x", ForeignBytes, 3},
		"empty line after the last":       {whole + "\n", ForeignBytes, 3},
		"byte order mark":                 {"\ufeff" + whole, ForeignBytes, 0},
		"comment":                         {events("q", 1) + ": x\n\n" + events("q", 2, 3), ForeignBytes, 1},
		"event without an id":             {events("q", 1) + "data: q/2 \n\n" + events("q", 2, 3), ForeignBytes, 1},
		"empty id":                        {events("q", 1) + "id:\ndata: q/2 \n\n" + events("q", 2, 3), ForeignBytes, 1},
		"id of a later event, other data": {events("q", 1) + "id: 3\ndata: x\n\n" + events("q", 2, 3), ForeignBytes, 1},
		"id of an earlier one, the same":  {events("q", 1) + "id: 1\ndata: x\n\n" + events("q", 2, 3), ForeignBytes, 1},
		"distant id":                      {events("q", 1) + "id: 300\ndata: q/300 \n\n" + events("q", 2, 3), ForeignBytes, 1},
		"other line ends":                 {strings.ReplaceAll(whole, "\n", "\r\n"), ForeignBytes, 0},
		"lone carriage returns":           {strings.ReplaceAll(whole, "\n", "\r"), ForeignBytes, 0},
		"carriage return in the data":     {strings.Replace(whole, "q/2 ", "q/2 \r", 1), ForeignBytes, 1},
		"two of them":                     {strings.Replace(whole, "q/2 ", "q/2 \r\rdata: x", 1), ForeignBytes, 1},
		"control character":               {strings.Replace(whole, "q/2 ", "q/2 \x00", 1), ForeignBytes, 1},
		"no UTF-8":                        {strings.Replace(whole, "q/2 ", "q/2 \xe9", 1), ForeignBytes, 1},
		"second line of data":             {strings.Replace(whole, "q/2 ", "q/2 \ndata: q/2 ", 1), ForeignBytes, 1},
		"no space after the colon":        {strings.Replace(whole, "data: q/2", "data:q/2", 1), ForeignBytes, 1},
		"no line end":                     {events("q", 1) + strings.Repeat("\xe9", 3*maxEventBytes), ForeignBytes, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r, err := checkText(x.text, io.EOF)
			c.Check(err, qt.IsNil)
			c.Check(r.StreamFault, qt.Equals, x.fault)
			c.Check(r.Events, qt.Equals, x.events)
			c.Check(r.Fault == "", qt.Equals, x.fault == "", qt.Commentf("%s", r.Fault))
			c.Check(r.PartialEvent, qt.IsFalse)
			c.Check(r.First.IsZero(), qt.Equals, x.events == 0)
		})
	}
}

// Guards against a fault that a broken connection hides, and against a sound part that counts as one.
func TestBrokenStreamsAreASoundBegin(t *testing.T) {
	broken := errors.New("broken")
	for n := range len(whole) + 1 {
		r, err := checkText(whole[:n], broken)
		c := qt.New(t)
		c.Check(err, qt.Equals, broken)
		c.Check(r.Fault, qt.Equals, "")
		c.Check(r.Events, qt.Equals, strings.Count(whole[:n], "\n\n"))
		c.Check(r.PartialEvent, qt.Equals, n > 0 && !strings.HasSuffix(whole[:n], "\n\n"))
		r, err = checkText(whole[:n]+"\xe9", broken)
		c.Check(err, qt.Equals, broken)
		c.Check(r.StreamFault, qt.Equals, ForeignBytes, qt.Commentf("%q", whole[:n]))
		c.Check(r.PartialEvent, qt.IsFalse)
	}
}

// Guards against a reader that takes fewer line ends than the format of event streams has.
func TestAllLineEndsEndLines(t *testing.T) {
	c := qt.New(t)
	s := newEventStream(iotest.OneByteReader(strings.NewReader("id: 1\r\rid:2\ndata: x\n\nid: 3\r\ndata: x\r\n\r\ndata\n\r\n\nid: x\n\n: id: 4\r\n")))
	var got []string
	var err error
	for err == nil {
		var v streamEvent
		v, err = s.next()
		got = append(got, fmt.Sprintf("%d %q", v.id, v.raw))
	}
	c.Check(err, qt.Equals, io.EOF)
	c.Check(got, qt.DeepEquals, []string{
		`1 "id: 1\r\r"`, `2 "id:2\ndata: x\n\n"`, `3 "id: 3\r\ndata: x\r\n\r"`, `0 "data\n\r"`, `0 "\n"`, `0 "id: x\n\n"`, `0 ": id: 4\r\n"`,
	})
}

// Guards against a 2xx response of a streaming route that isn't compared because of its status or type, and against a failure that is.
func TestLabelDoesNotDecideWhatIsCompared(t *testing.T) {
	for name, x := range map[string]struct {
		status      int
		contentType string
		fault       StreamFault
		asStream    bool
	}{
		"200 of another type":    {200, "text/plain", ForeignBytes, false},
		"200 without a type":     {200, "", ForeignBytes, false},
		"201":                    {201, "text/event-stream", ForeignBytes, false},
		"206":                    {206, "text/plain", ForeignBytes, false},
		"404":                    {404, "text/plain", "", false},
		"404 with a stream":      {404, "Text/Event-Stream; charset=utf-8", "", true},
		"500 with a stream":      {500, "text/event-stream", "", true},
		"500 with another body":  {500, "application/json", "", false},
		"500 without a real one": {500, "text/event-stream/x", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			host := startRoutedHost(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header()["Content-Type"] = []string{x.contentType}
				w.WriteHeader(x.status)
				fmt.Fprint(w, "\xe9\xe9\n\n")
			})
			caller := &RoutedCaller{HTTP: &http.Client{}}
			r := caller.Send(t.Context(), host, RoutedRequest{ID: "q", Path: "/p/q", Events: 3})
			c.Check(r.StreamFault, qt.Equals, x.fault)
			c.Check(r.FailureAsStream, qt.Equals, x.asStream)
			c.Check(r.Complete, qt.IsTrue)
		})
	}
}

// Guards against a check that knows other streams than upstreams make, or that misses a kind of garbage.
func TestEachKindOfGarbageIsFound(t *testing.T) {
	c := qt.New(t)
	e := emulator.New(emulator.Options{TokensPerResponse: 4, Seed: 1})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- e.Serve(ln) }()
	defer func() {
		_ = e.Close()
		c.Check(<-served, qt.IsNil)
	}()
	caller := &RoutedCaller{HTTP: &http.Client{Transport: &http.Transport{DisableCompression: true}}, Random: rand.New(rand.NewSource(1))}
	send := func(id string) RoutedResult {
		return caller.Send(t.Context(), ln.Addr().String(), RoutedRequest{ID: id, Path: emulator.RoutedStreamPath + id, Events: 4})
	}
	sound := send("sound")
	c.Check(sound.Fault, qt.Equals, "")
	c.Check(sound.Complete, qt.IsTrue)
	c.Check(sound.Events, qt.Equals, 4)
	for _, kind := range emulator.GarbageKinds() {
		e.SetGarbage(1, kind)
		r := send(string(kind))
		switch kind {
		case emulator.RawBytes, emulator.RawLines:
			c.Check(r.Cut, qt.IsTrue, qt.Commentf("%s", kind)) // no client can read it
		case emulator.Status404, emulator.Status500:
			c.Check(r.FailureAsStream, qt.IsTrue, qt.Commentf("%s", kind))
		default:
			c.Check(r.StreamFault, qt.Equals, ForeignBytes, qt.Commentf("%s", kind))
		}
	}
}
