package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"marigoldshunt/internal/fault"
)

// GarbageKind is one way in which an upstream spoils the response of a routed stream.
type GarbageKind string

// Kinds that stand before an event, in the body of a response that is sound otherwise.
const (
	// HighBytes is a run of bytes above 127, which are no UTF-8.
	HighBytes GarbageKind = "high-bytes"
	// HighBytesCut is the same without a line end; the connection is closed after it.
	HighBytesCut GarbageKind = "high-bytes-cut"
	// NoID is an event without an id.
	NoID GarbageKind = "no-id"
	// EmptyID is an event whose id is empty.
	EmptyID GarbageKind = "empty-id"
	// TextID is an event whose id is no number.
	TextID GarbageKind = "text-id"
	// Comment is a comment, which the format of event streams allows and no run makes.
	Comment GarbageKind = "comment"
	// EarlierID is an event with an id that has come already, and with other data.
	EarlierID GarbageKind = "earlier-id"
	// DistantID is an event with an id hundreds ahead.
	DistantID GarbageKind = "distant-id"
	// ResponseHead is the head and the body of another HTTP response.
	ResponseHead GarbageKind = "response-head"
)

// Kinds that stand in place of an event and have its id.
const (
	// LoneCR is an event with a carriage return inside its data that no line feed follows, and
	// that ends a line for some readers.
	LoneCR GarbageKind = "lone-cr"
	// LoneCRTwice is an event with two of them in a row, so that it ends there for some readers.
	LoneCRTwice GarbageKind = "lone-cr-twice"
	// InvalidUTF8 is an event with data that is no UTF-8, and with a second line of data.
	InvalidUTF8 GarbageKind = "invalid-utf8"
	// ControlCharacter is an event with a control character in its data.
	ControlCharacter GarbageKind = "control-character"
)

// Kinds that are written to the connection where a chunk is due. The stream does not go on after
// them.
const (
	// RawBytes is a run of bytes without a line end.
	RawBytes GarbageKind = "raw-bytes"
	// RawLines is text with line ends, none of which is the size of a chunk.
	RawLines GarbageKind = "raw-lines"
)

// Kinds that spoil a whole response. Those with a 2xx status hold one sound event before bytes that
// are none.
const (
	// UnframedStream is an event stream without a length and without chunks, which ends with the
	// connection.
	UnframedStream GarbageKind = "unframed-stream"
	// UnframedNoType is the same without a content type.
	UnframedNoType GarbageKind = "unframed-no-type"
	// PlainTypeChunks and PlainTypeLength have the content type text/plain.
	PlainTypeChunks GarbageKind = "plain-type-chunks"
	PlainTypeLength GarbageKind = "plain-type-length"
	// NoTypeChunks and NoTypeLength have no content type.
	NoTypeChunks GarbageKind = "no-type-chunks"
	NoTypeLength GarbageKind = "no-type-length"
	// OtherCaseType has the content type of an event stream in other letter case.
	OtherCaseType GarbageKind = "other-case-type"
	// Status201 and Status206 have these statuses and the content type text/plain.
	Status201 GarbageKind = "status-201"
	Status206 GarbageKind = "status-206"
	// Status404 and Status500 are failures with the content type of an event stream.
	Status404 GarbageKind = "status-404"
	Status500 GarbageKind = "status-500"
)

// eventGarbage describes a kind that spoils a stream at one of its events.
type eventGarbage struct {
	kind GarbageKind
	// text returns the garbage at event n, whose sound data is token.
	text func(n int, token string) string
	// replaces means that the garbage stands in place of the event.
	replaces bool
	// raw means that it is written to the connection where a chunk is due.
	raw bool
	// cut means that the connection is closed after it.
	cut bool
}

// garbageToken is in no sound event.
const garbageToken = "GARBAGE"

// garbageIDDistance is how far the id of DistantID is ahead.
const garbageIDDistance = 300

// highBytes are no UTF-8 and end no line.
var highBytes = strings.Repeat("\xe9\xff", 150)

// foreignEvent returns garbage that begins with some lines and has a line of data.
func foreignEvent(begin string) func(int, string) string {
	return func(int, string) string { return begin + "data: " + garbageToken + "\n\n" }
}

// fixed returns garbage that is the same at all events.
func fixed(text string) func(int, string) string { return func(int, string) string { return text } }

// dataGarbage returns an event with a sound id and garbage after the sound data.
func dataGarbage(end string) func(int, string) string {
	return func(n int, token string) string { return fmt.Sprintf("id: %d\ndata: %s%s\n\n", n, token, end) }
}

var eventGarbages = []eventGarbage{
	{kind: HighBytes, text: fixed(highBytes + "\n\n")},
	{kind: HighBytesCut, text: fixed(highBytes), cut: true},
	{kind: NoID, text: foreignEvent("")},
	{kind: EmptyID, text: foreignEvent("id:\n")},
	{kind: TextID, text: foreignEvent("id: x\n")},
	{kind: Comment, text: fixed(": " + garbageToken + "\n\n")},
	{kind: EarlierID, text: func(n int, token string) string { return foreignEvent(fmt.Sprintf("id: %d\n", n-1))(n, token) }},
	{kind: DistantID, text: func(n int, token string) string {
		return foreignEvent(fmt.Sprintf("id: %d\n", n+garbageIDDistance))(n, token)
	}},
	{kind: ResponseHead, text: fixed("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" + garbageToken)},
	{kind: LoneCR, text: dataGarbage("\rdata: " + garbageToken), replaces: true},
	{kind: LoneCRTwice, text: dataGarbage("\r\rdata: " + garbageToken), replaces: true},
	{kind: InvalidUTF8, text: dataGarbage(highBytes + "\ndata: " + garbageToken), replaces: true},
	{kind: ControlCharacter, text: dataGarbage("\x00" + garbageToken), replaces: true},
	{kind: RawBytes, text: fixed(highBytes), raw: true},
	{kind: RawLines, text: fixed(strings.Repeat(garbageToken+"\r\n", 3) + "\r\n"), raw: true},
}

// framing says how a response shows where its body ends.
type framing int

const (
	inChunks framing = iota
	withLength
	// untilClose ends the body with the connection.
	untilClose
)

// responseGarbage describes a kind that spoils a whole response.
type responseGarbage struct {
	kind        GarbageKind
	status      int
	contentType string
	framing     framing
}

const (
	eventStreamType = "text/event-stream"
	plainType       = "text/plain"
)

var responseGarbages = []responseGarbage{
	{UnframedStream, http.StatusOK, eventStreamType, untilClose},
	{UnframedNoType, http.StatusOK, "", untilClose},
	{PlainTypeChunks, http.StatusOK, plainType, inChunks},
	{PlainTypeLength, http.StatusOK, plainType, withLength},
	{NoTypeChunks, http.StatusOK, "", inChunks},
	{NoTypeLength, http.StatusOK, "", withLength},
	{OtherCaseType, http.StatusOK, "Text/Event-Stream", inChunks},
	{Status201, http.StatusCreated, plainType, inChunks},
	{Status206, http.StatusPartialContent, plainType, inChunks},
	{Status404, http.StatusNotFound, eventStreamType, inChunks},
	{Status500, http.StatusInternalServerError, eventStreamType, inChunks},
}

// GarbageKinds returns all kinds.
func GarbageKinds() []GarbageKind {
	var all []GarbageKind
	for _, g := range eventGarbages {
		all = append(all, g.kind)
	}
	for _, g := range responseGarbages {
		all = append(all, g.kind)
	}
	return all
}

// IsResponse reports whether a kind spoils a whole response, and not one event.
func (k GarbageKind) IsResponse() bool {
	return slices.ContainsFunc(responseGarbages, func(g responseGarbage) bool { return g.kind == k })
}

// ParseGarbageKinds parses kinds that are separated by commas. An empty text means all kinds.
func ParseGarbageKinds(text string) ([]GarbageKind, error) {
	if text == "" {
		return GarbageKinds(), nil
	}
	all := GarbageKinds()
	var kinds []GarbageKind
	for field := range strings.SplitSeq(text, ",") {
		kind := GarbageKind(strings.TrimSpace(field))
		if !slices.Contains(all, kind) {
			return nil, fault.New(fault.InvalidSettings, "", "unknown kind of garbage %q", kind)
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// garbageSource decides when garbage of which kind is sent.
type garbageSource struct {
	rate      float64
	events    []eventGarbage
	responses []responseGarbage
}

func newGarbageSource(rate float64, kinds []GarbageKind) garbageSource {
	if len(kinds) == 0 {
		kinds = GarbageKinds()
	}
	s := garbageSource{rate: rate}
	for _, g := range eventGarbages {
		if slices.Contains(kinds, g.kind) {
			s.events = append(s.events, g)
		}
	}
	for _, g := range responseGarbages {
		if slices.Contains(kinds, g.kind) {
			s.responses = append(s.responses, g)
		}
	}
	return s
}

// SetGarbage replaces Options.GarbageRate and Options.GarbageKinds.
func (e *Emulator) SetGarbage(rate float64, kinds ...GarbageKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.garbage = newGarbageSource(rate, kinds)
}

// pickGarbageLocked returns the index of one of n kinds at random, mostly none.
func (e *Emulator) pickGarbageLocked(n int) (index int, ok bool) {
	if n == 0 || e.garbage.rate == 0 || e.rng.Float64() >= e.garbage.rate {
		return 0, false
	}
	return e.rng.Intn(n), true
}

// pickEventGarbage decides whether there is garbage at the next event.
func (e *Emulator) pickEventGarbage() (g eventGarbage, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, ok := e.pickGarbageLocked(len(e.garbage.events))
	if !ok {
		return g, false
	}
	g = e.garbage.events[i]
	e.debug.Garbage[g.kind]++
	return g, true
}

// pickResponseGarbage decides whether the next response is garbage.
func (e *Emulator) pickResponseGarbage() (g responseGarbage, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, ok := e.pickGarbageLocked(len(e.garbage.responses))
	if !ok {
		return g, false
	}
	g = e.garbage.responses[i]
	e.debug.Garbage[g.kind]++
	return g, true
}

// errStreamCut means that a stream ends here because of garbage.
var errStreamCut = errors.New("the stream is cut off after garbage")

// sendEvent sends event n of a routed stream, or garbage before it or in its place. The stream can't
// go on after an error.
func (e *Emulator) sendEvent(w http.ResponseWriter, j *job, n int) error {
	event := routedEvent(j.id, n)
	g, ok := e.pickEventGarbage()
	if !ok {
		return writeAndFlush(w, event)
	}
	text := g.text(n, Token(j.id, n))
	switch {
	case g.raw:
		return writeToConnection(w, j, text)
	case g.cut:
		return errors.Join(writeAndFlush(w, text), errStreamCut)
	case g.replaces:
		return writeAndFlush(w, text)
	}
	return writeAndFlush(w, text+event)
}

// routedEvent returns event n of the routed stream of a request.
func routedEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, Token(id, n))
}

func writeAndFlush(w http.ResponseWriter, text string) error {
	if _, err := io.WriteString(w, text); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// rawHold bounds how long a connection stays open after garbage outside of the chunks, so that the
// other end is not told by its end that the stream is over.
const rawHold = 500 * time.Millisecond

// writeToConnection writes text to the connection, past the chunks of the response, and waits until
// the other end closes it, the job ends or rawHold is over.
func writeToConnection(w http.ResponseWriter, j *job, text string) error {
	controller := http.NewResponseController(w)
	// Hijack drops what is not flushed, the head of the response included.
	if err := controller.Flush(); err != nil {
		return err
	}
	conn, _, err := controller.Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(j.ctx, func() { conn.Close() })()
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(rawHold)); err != nil {
		return err
	}
	_, _ = conn.Read(make([]byte, 1)) // returns in all cases, which all end the stream
	return errStreamCut
}

// sendGarbageResponse answers a request with garbage. It returns false if the response is incomplete.
func (e *Emulator) sendGarbageResponse(w http.ResponseWriter, r *http.Request, j *job, lastEvent int, g responseGarbage) bool {
	if e.opts.Engine != nil {
		// A simulated engine counts the others when it accepts them.
		e.mu.Lock()
		e.countRunLocked(r, lastEvent)
		e.mu.Unlock()
	}
	e.setInstanceHeaders(w, j)
	return writeGarbageResponse(w, j, lastEvent, g) == nil
}

// writeGarbageResponse writes a response that is garbage, instead of the events after lastEvent.
func writeGarbageResponse(w http.ResponseWriter, j *job, lastEvent int, g responseGarbage) error {
	body := highBytes + "\n\n"
	if g.status < http.StatusMultipleChoices {
		body = routedEvent(j.id, lastEvent+1) + body
	}
	h := w.Header()
	h["Content-Type"] = nil // keeps net/http from adding one
	if g.contentType != "" {
		h.Set("Content-Type", g.contentType)
	}
	switch g.framing {
	case withLength:
		h.Set("Content-Length", strconv.Itoa(len(body)))
	case untilClose:
		// net/http takes this for a body that is not in chunks and does not send the header.
		h.Set("Transfer-Encoding", "identity")
	}
	w.WriteHeader(g.status)
	return writeAndFlush(w, body)
}
