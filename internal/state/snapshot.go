package state

import (
	"cmp"
	"maps"
	"slices"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// snapshot is the encoded form of a State. It holds sorted lists instead of maps, so
// that equal states have equal bytes.
type snapshot struct {
	Version  uint8
	Index    uint64
	Now      int64
	FormedBy string

	Revision uint64
	Objects  []config.Change

	Answers []savedAnswer

	Leases        []wire.Lease
	LeasesVersion uint64

	Floor    int64
	Claims   []savedClaim
	Released []string

	Marks        []CrashMark
	MarksVersion uint64

	Orders []savedOrder

	// Streams is the extension of the snapshot.
	Streams *savedStreams `msgpack:"-"`
}

// Extension returns the extension of the snapshot, nil if there is nothing to add.
func (s snapshot) Extension() any {
	if s.Streams == nil {
		return nil
	}
	return s.Streams
}

// ExtensionTarget returns what the extension of the snapshot is decoded into.
func (s *snapshot) ExtensionTarget() any {
	s.Streams = &savedStreams{}
	return s.Streams
}

type savedAnswer struct {
	Key    string
	Answer answer
}

type savedClaim struct {
	ID    claimID
	Claim claim
}

type savedOrder struct {
	Order  PendingOrder
	Answer string
}

const snapshotVersion = 1

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	out := snapshot{
		Version: snapshotVersion, Index: s.index, Now: s.now, FormedBy: s.formedBy,
		Revision: s.config.Revision, Objects: s.config.Objects(),
		LeasesVersion: s.leasesVersion,
		Floor:         s.claims.minKeyTime, Released: s.claims.releasedOrder,
		Marks: s.crashMarks, MarksVersion: s.crashMarksVersion,
	}
	for _, key := range s.answerOrder {
		out.Answers = append(out.Answers, savedAnswer{key, s.answers[key]})
	}
	for _, pool := range slices.Sorted(maps.Keys(s.leases)) {
		out.Leases = append(out.Leases, s.leases[pool])
	}
	for id, c := range s.claims.byID {
		out.Claims = append(out.Claims, savedClaim{id, *c})
	}
	slices.SortFunc(out.Claims, func(a, b savedClaim) int {
		return cmp.Or(slices.Compare(a.ID.Key[:], b.ID.Key[:]), cmp.Compare(a.ID.Account, b.ID.Account))
	})
	for _, p := range s.Orders() {
		out.Orders = append(out.Orders, savedOrder{p, p.answerKey})
	}
	out.Streams = s.streams.save()
	return wire.Marshal(out)
}

// Restore replaces the state with a snapshot. On an error the state stays as it was.
func (s *State) Restore(data []byte) error {
	var in snapshot
	if err := wire.Unmarshal(data, &in); err != nil {
		return fault.Wrap(err, fault.StorageCorrupt, "", "the snapshot cannot be decoded")
	}
	if in.Version != snapshotVersion {
		return fault.New(fault.StorageCorrupt, "", "the snapshot has version %d, %d is known", in.Version, snapshotVersion)
	}
	restored := New(in.FormedBy)
	restored.index, restored.now = in.Index, in.Now
	restored.config.Revision = in.Revision
	restored.patches.since = in.Revision
	for _, ch := range in.Objects {
		if err := restored.config.LoadObject(ch); err != nil {
			return fault.Wrap(err, fault.StorageCorrupt, "", "the snapshot holds a wrong object")
		}
	}
	for _, a := range in.Answers {
		restored.answers[a.Key] = a.Answer
		restored.answerOrder = append(restored.answerOrder, a.Key)
	}
	for _, l := range in.Leases {
		restored.leases[l.Pool] = l
	}
	restored.leasesVersion = in.LeasesVersion
	restored.claims.minKeyTime = in.Floor
	for _, c := range in.Claims {
		keyTime := int64(0)
		for _, b := range c.ID.Key[:6] {
			keyTime = keyTime<<8 | int64(b)
		}
		restored.claims.insert(c.ID, keyTime, &c.Claim)
	}
	for _, attempt := range in.Released {
		restored.claims.rememberReleased(attempt)
	}
	restored.crashMarks, restored.crashMarksVersion = in.Marks, in.MarksVersion
	for _, o := range in.Orders {
		o.Order.answerKey = o.Answer
		restored.orders[o.Order.Fence] = o.Order
	}
	if in.Streams != nil && !restored.streams.restore(in.Streams) {
		return fault.New(fault.StorageCorrupt, "", "the snapshot holds a stream without an origin")
	}
	*s = *restored
	return nil
}
