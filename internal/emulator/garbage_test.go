package emulator

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/enginemodel"
	"marigoldshunt/internal/fault"
)

// garbageTestTimeout bounds the reading of one response.
const garbageTestTimeout = 20 * time.Second

// rawStream returns all bytes of the response to a stream request on a connection of its own.
func rawStream(h *harness, lastEvent int) string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.baseURL, "http://"))
	h.Assert(err, qt.IsNil)
	defer conn.Close()
	h.Assert(conn.SetDeadline(time.Now().Add(garbageTestTimeout)), qt.IsNil)
	_, err = fmt.Fprintf(conn, "POST %s1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nLast-Event-Id: %d\r\n"+
		"X-Prompt-Parts: 1:10\r\nX-Token-Usage: 10,24\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", RoutedStreamPath, lastEvent)
	h.Assert(err, qt.IsNil)
	b, err := io.ReadAll(conn)
	h.Assert(err, qt.IsNil)
	return string(b)
}

// chunk returns text as one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("\r\n%x\r\n%s\r\n", len(text), text) }

const (
	streamTypeLine = "\r\nContent-Type: text/event-stream\r\n"
	plainTypeLine  = "\r\nContent-Type: text/plain\r\n"
	chunksLine     = "\r\nTransfer-Encoding: chunked\r\n"
	lengthLine     = "\r\nContent-Length: "
	lastChunk      = "\r\n0\r\n\r\n"
)

// Guards against a kind of garbage that another one hides, that isn't sent, or that is framed otherwise.
func TestEachKindOfGarbageIsSent(t *testing.T) {
	first, second := routedEvent("r1", 3), routedEvent("r1", 4)
	data := "data: GARBAGE\n\n"
	token := Token("r1", 3)
	body := first + highBytes + "\n\n"
	for kind, want := range map[GarbageKind]struct{ has, lacks []string }{
		HighBytes:        {[]string{streamTypeLine, chunksLine, chunk(highBytes + "\n\n" + first), second, lastChunk}, nil},
		HighBytesCut:     {[]string{streamTypeLine, chunksLine, chunk(highBytes)}, []string{first, lastChunk}},
		NoID:             {[]string{streamTypeLine, chunk(data + first), second, lastChunk}, nil},
		EmptyID:          {[]string{streamTypeLine, chunk("id:\n" + data + first), second, lastChunk}, nil},
		TextID:           {[]string{streamTypeLine, chunk("id: x\n" + data + first), second, lastChunk}, nil},
		Comment:          {[]string{streamTypeLine, chunk(": GARBAGE\n\n" + first), second, lastChunk}, nil},
		EarlierID:        {[]string{streamTypeLine, chunk("id: 2\n" + data + first), second, lastChunk}, nil},
		DistantID:        {[]string{streamTypeLine, chunk("id: 303\n" + data + first), second, lastChunk}, nil},
		ResponseHead:     {[]string{streamTypeLine, "\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nGARBAGE" + first, second, lastChunk}, nil},
		LoneCR:           {[]string{streamTypeLine, chunk("id: 3\ndata: " + token + "\r" + data), lastChunk}, []string{first}},
		LoneCRTwice:      {[]string{streamTypeLine, chunk("id: 3\ndata: " + token + "\r\r" + data), lastChunk}, []string{first}},
		InvalidUTF8:      {[]string{streamTypeLine, chunk("id: 3\ndata: " + token + highBytes + "\n" + data), lastChunk}, []string{first}},
		ControlCharacter: {[]string{streamTypeLine, chunk("id: 3\ndata: " + token + "\x00GARBAGE\n\n"), lastChunk}, []string{first}},
		RawBytes:         {[]string{streamTypeLine, chunksLine + "\r\n" + highBytes}, []string{first, lastChunk}},
		RawLines:         {[]string{streamTypeLine, chunksLine + "\r\nGARBAGE\r\n"}, []string{first, lastChunk}},
		UnframedStream:   {[]string{"HTTP/1.1 200 ", streamTypeLine, "\r\n\r\n" + body}, []string{chunksLine, lengthLine}},
		UnframedNoType:   {[]string{"HTTP/1.1 200 ", "\r\n\r\n" + body}, []string{chunksLine, lengthLine, "Content-Type"}},
		PlainTypeChunks:  {[]string{"HTTP/1.1 200 ", plainTypeLine, chunksLine, chunk(body), lastChunk}, nil},
		PlainTypeLength:  {[]string{"HTTP/1.1 200 ", plainTypeLine, lengthLine, "\r\n\r\n" + body}, []string{chunksLine}},
		NoTypeChunks:     {[]string{"HTTP/1.1 200 ", chunksLine, chunk(body), lastChunk}, []string{"Content-Type"}},
		NoTypeLength:     {[]string{"HTTP/1.1 200 ", lengthLine, "\r\n\r\n" + body}, []string{"Content-Type", chunksLine}},
		OtherCaseType:    {[]string{"HTTP/1.1 200 ", "\r\nContent-Type: Text/Event-Stream\r\n", chunk(body), lastChunk}, nil},
		Status201:        {[]string{"HTTP/1.1 201 ", plainTypeLine, chunk(body), lastChunk}, nil},
		Status206:        {[]string{"HTTP/1.1 206 ", plainTypeLine, chunk(body), lastChunk}, nil},
		Status404:        {[]string{"HTTP/1.1 404 ", streamTypeLine, chunk(highBytes + "\n\n"), lastChunk}, []string{first}},
		Status500:        {[]string{"HTTP/1.1 500 ", streamTypeLine, chunk(highBytes + "\n\n"), lastChunk}, []string{first}},
	} {
		for name, engine := range map[string]*enginemodel.Options{"engine": fastEngine(), "delays": nil} {
			t.Run(string(kind)+" "+name, func(t *testing.T) {
				h := startEmulator(t, Options{TokensPerResponse: 4, Engine: engine, GarbageRate: 1, GarbageKinds: []GarbageKind{kind}, Seed: 1})
				text := rawStream(h, 2)
				for _, part := range want.has {
					h.Check(text, qt.Contains, part)
				}
				for _, part := range want.lacks {
					h.Check(strings.Contains(text, part), qt.IsFalse, qt.Commentf("%q in %q", part, text))
				}
				h.Check(h.emulator.Debug().Garbage[kind] > 0, qt.IsTrue)
			})
		}
	}
}

// Guards against a kind that is sent by no emulator or can't be named.
func TestAllKindsOfGarbageCanBeNamed(t *testing.T) {
	c := qt.New(t)
	all, err := ParseGarbageKinds("")
	c.Assert(err, qt.IsNil)
	c.Check(all, qt.HasLen, 26)
	for _, kind := range all {
		s := newGarbageSource(1, []GarbageKind{kind})
		c.Check(len(s.events)+len(s.responses), qt.Equals, 1, qt.Commentf("%s", kind))
		c.Check(kind.IsResponse(), qt.Equals, len(s.responses) == 1, qt.Commentf("%s", kind))
	}
	some, err := ParseGarbageKinds("lone-cr, status-206")
	c.Check(err, qt.IsNil)
	c.Check(some, qt.DeepEquals, []GarbageKind{LoneCR, Status206})
	_, err = ParseGarbageKinds("lone-cr,unknown")
	c.Check(fault.CodeOf(err), qt.Equals, fault.InvalidSettings)
}

// Guards against a garbage mode that sends none, or that takes sound events away.
func TestGarbageComesBetweenSoundEvents(t *testing.T) {
	between := []GarbageKind{HighBytes, NoID, EmptyID, TextID, Comment, EarlierID, DistantID, ResponseHead}
	h := startEmulator(t, Options{Kind: config.KindService, TokensPerResponse: 50, GarbageRate: 0.5, GarbageKinds: between, Seed: 1})
	_, text, err := h.post(RoutedStreamPath+"1", "r1", "")
	h.Assert(err, qt.IsNil)
	for n := range 50 {
		h.Assert(text, qt.Contains, fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, Token("r1", n+1)))
	}
	h.Assert(strings.Count(text, garbageToken) > 5, qt.IsTrue, qt.Commentf("%s", text))
}

// Guards against garbage that another run with the same seed doesn't send again.
func TestSeedDecidesTheGarbage(t *testing.T) {
	text := func(seed int64) string {
		h := startEmulator(t, Options{TokensPerResponse: 50, GarbageRate: 0.5, GarbageKinds: []GarbageKind{NoID, EmptyID, TextID, Comment, LoneCR}, Seed: seed})
		_, text, err := h.post(RoutedStreamPath+"1", "r1", "")
		h.Assert(err, qt.IsNil)
		return text
	}
	c := qt.New(t)
	c.Check(text(1), qt.Equals, text(1))
	c.Check(text(1), qt.Not(qt.Equals), text(2))
}

// Guards against a garbage response that isn't counted as a run, or that is counted twice.
func TestGarbageResponsesAreRuns(t *testing.T) {
	for name, engine := range map[string]*enginemodel.Options{"engine": fastEngine(), "delays": nil} {
		t.Run(name, func(t *testing.T) {
			h := startEmulator(t, Options{Engine: engine, GarbageRate: 1, GarbageKinds: []GarbageKind{PlainTypeLength}, Seed: 1})
			rawStream(h, 0)
			h.Check(h.emulator.Debug().Requests["r1"], qt.Equals, 1)
			h.Check(h.emulator.Debug().Runs, qt.Equals, 1)
			rawStream(h, 2)
			h.Check(h.emulator.Debug().Runs, qt.Equals, 1)
			h.Check(h.emulator.Debug().Resumed, qt.Equals, 1)
		})
	}
}
