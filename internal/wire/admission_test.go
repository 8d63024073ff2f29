package wire

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// oldAdmissionRequest and oldAdmissionReply are the messages before RequestID and Refusal.
type oldAdmissionRequest struct {
	Seq                 uint64
	ID                  string
	Born                int64
	Service             string
	Slots, MemoryTokens int
	Parts               []PromptPart
	Tokens              int
	AimLeft, EndLeft    time.Duration
	Rank                uint8
	Admitted, Read      bool
}

type oldAdmissionReply struct {
	Seq             uint64
	Granted, Queued bool
	Wait            time.Duration
}

// Guards against hosts of two releases that do not read each other's messages to and from the
// owner of a gate, so that no request is admitted while a release is rolled out.
func TestAdmissionMessagesOfOldAndNewHosts(t *testing.T) {
	c := qt.New(t)
	decode := func(in, out any) {
		b, err := Marshal(in)
		c.Assert(err, qt.IsNil)
		c.Assert(Unmarshal(b, out), qt.IsNil)
	}
	oldRequest := oldAdmissionRequest{Seq: 7, ID: "e", Service: "s", Slots: 4, Parts: []PromptPart{{1, 2}}, Tokens: 2, AimLeft: time.Second, EndLeft: 2 * time.Second, Rank: 1, Read: true}
	newRequest := AdmissionRequest{Seq: 7, ID: "e", Service: "s", Slots: 4, Parts: []PromptPart{{1, 2}}, Tokens: 2, AimLeft: time.Second, EndLeft: 2 * time.Second, Rank: 1, Read: true}
	var gotRequest AdmissionRequest
	decode(oldRequest, &gotRequest)
	c.Assert(gotRequest, qt.DeepEquals, newRequest)
	newRequest.RequestID, newRequest.LastAttempt = "9c41d07be2a35f68", true
	var gotOldRequest oldAdmissionRequest
	decode(newRequest, &gotOldRequest)
	c.Assert(gotOldRequest, qt.DeepEquals, oldRequest)
	gotRequest = AdmissionRequest{}
	decode(newRequest, &gotRequest)
	c.Assert(gotRequest, qt.DeepEquals, newRequest)

	oldReply := oldAdmissionReply{Seq: 7, Wait: time.Second}
	var gotReply AdmissionReply
	decode(oldReply, &gotReply)
	c.Assert(gotReply, qt.DeepEquals, AdmissionReply{Seq: 7, Wait: time.Second})
	newReply := AdmissionReply{Seq: 7, Wait: time.Second, Refusal: &GateRefusal{
		Reason: 1, Expected: time.Second, Limit: 300 * time.Millisecond, UnreadTokens: 3_000, QueuedTokens: 20_000, Tokens: 400, Waiting: 9, Running: 12, PerMs: 23.5,
	}}
	var gotOldReply oldAdmissionReply
	decode(newReply, &gotOldReply)
	c.Assert(gotOldReply, qt.DeepEquals, oldReply)
	gotReply = AdmissionReply{}
	decode(newReply, &gotReply)
	c.Assert(gotReply, qt.DeepEquals, newReply)
}
