package state

import (
	"crypto/sha256"
	"maps"
	"slices"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// State is the replicated state at one log index. It is not safe for concurrent use;
// the configuration that it returns is immutable.
type State struct {
	index    uint64
	now      int64
	formedBy string

	config *config.Config
	// recentChanges holds the latest configuration changes since the last restore, for
	// deltas. It is not part of the replicated state.
	recentChanges []config.AppliedChange
	// patches holds the latest changes of the routing document, for hosts that have an earlier
	// one. It is not part of the replicated state either.
	patches routingPatches

	answers     map[string]answer
	answerOrder []string

	leases        map[string]wire.Lease
	leasesVersion uint64

	claims claimTable

	crashMarks        []CrashMark
	crashMarksVersion uint64

	orders map[uint64]PendingOrder

	streams streamTable
}

// answer is the kept answer to an operator's request. Digest distinguishes a resend from
// another request with the same id.
type answer struct {
	Digest [16]byte
	Result Result
}

// New returns an empty state. formedBy is the id of the request that formed the group.
func New(formedBy string) *State {
	return &State{
		formedBy: formedBy,
		config:   config.New(),
		answers:  map[string]answer{},
		leases:   map[string]wire.Lease{},
		claims:   newClaimTable(),
		orders:   map[uint64]PendingOrder{},
		streams:  newStreamTable(),
	}
}

// Index returns the log index of the last applied entry.
func (s *State) Index() uint64 { return s.index }

// FormedBy returns the id of the request that formed the group.
func (s *State) FormedBy() string { return s.formedBy }

// Config returns the current configuration, which must not be modified.
func (s *State) Config() *config.Config { return s.config }

// ApplyBatch applies the commands of one log entry and returns their results in order.
// An entry that cannot be decoded has no effect and no results.
func (s *State) ApplyBatch(index uint64, data []byte) []Result {
	var b Batch
	if err := wire.Unmarshal(data, &b); err != nil {
		s.index = max(s.index, index)
		return nil
	}
	s.advanceTime(b.Time)
	out := make([]Result, len(b.Commands))
	for i, cmd := range b.Commands {
		out[i] = s.Apply(index, cmd)
	}
	s.index = max(s.index, index)
	return out
}

// AdvanceIndex records a log index that holds no commands.
func (s *State) AdvanceIndex(index uint64) { s.index = max(s.index, index) }

// advanceTime moves the state's time forward. The time never goes back, so that an
// expired key stays expired when a leader whose clock is behind takes over.
func (s *State) advanceTime(now int64) {
	if now <= s.now {
		return
	}
	s.now = now
	s.claims.expire(now - s.config.Policy.ClaimRetention.Milliseconds())
	s.streams.expire(now - StreamRetention.Milliseconds())
	oldestKept := now - CrashMarkRetention.Milliseconds()
	s.deleteCrashMarks(func(m CrashMark) bool { return m.At < oldestKept })
}

// Apply applies one command at a log index. A command that cannot be decoded has no
// effect and returns BadRequest.
func (s *State) Apply(index uint64, cmd []byte) Result {
	s.index = max(s.index, index)
	var command Command
	if err := wire.Unmarshal(cmd, &command); err != nil {
		return refuse(fault.BadRequest, fault.NotRun, "the command cannot be decoded")
	}
	switch {
	case command.Config != nil:
		return s.applyOnce(command.Config.Operator, command.Config.RequestID, cmd, func(string) Result { return s.applyConfigChange(command.Config) })
	case command.Acquire != nil:
		return s.acquireLease(index, command.Acquire)
	case command.Release != nil:
		return s.releaseLease(index, command.Release.Lease)
	case command.Claim != nil:
		return s.claims.open(s.now, command.Claim)
	case command.Finish != nil:
		return s.claims.finish(command.Finish)
	case command.Unclaim != nil:
		return s.claims.release(command.Unclaim)
	case command.Mark != nil:
		return s.addCrashMark(*command.Mark)
	case command.CrashMarks != nil && command.CrashMarks.streams != nil:
		return s.streams.change(s.now, command.CrashMarks.streams)
	case command.CrashMarks != nil:
		return s.changeCrashMarks(command.CrashMarks)
	case command.Order != nil:
		return s.applyOnce("order\x00"+command.Order.Order.Operator, command.Order.RequestID, cmd, func(key string) Result { return s.issueOrder(index, key, command.Order) })
	case command.OrderDone != nil:
		return s.finishOrder(command.OrderDone)
	}
	return refuse(fault.BadRequest, fault.NotRun, "the command is empty")
}

// applyOnce runs a request of an operator, or returns the kept answer if it ran before.
func (s *State) applyOnce(operator, requestID string, cmd []byte, run func(key string) Result) Result {
	if requestID == "" || len(requestID) > maxIDBytes || len(operator) > 2*maxIDBytes {
		return refuse(fault.BadRequest, fault.NotRun, "a request id of 1 to 64 bytes is required")
	}
	key := operator + "\x00" + requestID
	var digest [16]byte
	sum := sha256.Sum256(cmd)
	copy(digest[:], sum[:])
	if known, ok := s.answers[key]; ok {
		if known.Digest != digest {
			return refuse(fault.BadRequest, fault.NotRun, "the request id was used for another request")
		}
		return known.Result
	}
	r := run(key)
	if len(s.answerOrder) >= MaxOperatorAnswers {
		delete(s.answers, s.answerOrder[0])
		s.answerOrder = s.answerOrder[1:]
	}
	s.answers[key] = answer{Digest: digest, Result: r}
	s.answerOrder = append(s.answerOrder, key)
	return r
}

// refuseBootstrap refuses the bootstrap credential once operators are configured. A host
// that has not received the configuration yet still accepts that credential.
func (s *State) refuseBootstrap(operator string) (Result, bool) {
	if operator != config.BootstrapOperator || len(s.config.Operators) == 0 {
		return Result{}, false
	}
	return refuse(fault.Forbidden, fault.NotRun, "the configuration has operators; the bootstrap credential has ended"), true
}

func (s *State) applyConfigChange(request *ConfigChange) Result {
	if r, refused := s.refuseBootstrap(request.Operator); refused {
		return r
	}
	if n := len(request.Changes); n == 0 || n > maxChanges {
		return refuse(fault.InvalidConfig, fault.NotRun, "a request holds between 1 and 20000 changes")
	}
	next, err := s.config.ApplyAll(request.Changes, s.config.Revision+1)
	if err != nil {
		return errorResult(err)
	}
	replaced := next.Routing != s.config.Routing
	if replaced {
		s.patches.add(s.config.Routing, next.Routing)
	}
	s.config = next
	for _, change := range request.Changes {
		switch {
		case change.Routing != nil && replaced:
			s.supersedeRouting()
		case change.Routing != nil:
			change = supersededRouting(change.Routing)
		}
		s.recentChanges = append(s.recentChanges, config.AppliedChange{Revision: next.Revision, Change: change})
	}
	if excess := len(s.recentChanges) - maxRecentChanges; excess > maxRecentChanges/4 {
		s.recentChanges = slices.Clone(s.recentChanges[excess:])
	}
	// A shorter retention expires keys at once; a longer one does not revive any.
	s.claims.expire(s.now - next.Policy.ClaimRetention.Milliseconds())
	return Result{Revision: next.Revision}
}

// supersedeRouting drops the content of the last routing document among the recent
// changes. A document is replaced as a whole, so a delta needs only the newest one, and
// hundreds of whole documents would not fit into the memory of a small host.
func (s *State) supersedeRouting() {
	for i := len(s.recentChanges) - 1; i >= 0; i-- {
		doc := s.recentChanges[i].Change.Routing
		if doc == nil {
			continue
		}
		if !doc.Superseded {
			s.recentChanges[i].Change = supersededRouting(doc)
		}
		return
	}
}

// supersededRouting returns the placeholder in deltas for a document that is not in force.
func supersededRouting(r *config.Routing) config.Change {
	return config.Change{Routing: &config.Routing{Version: r.Version, Superseded: true}}
}

// maxRecentChanges is the number of changes kept for deltas; the list is cut back to it
// when it is more than a quarter longer. At 3,100 changes a day it covers more than a day,
// so that only hosts without a configuration need the whole one.
const maxRecentChanges = 4_096

// Delta returns the changes after a revision, or false when they are no longer kept and
// the whole configuration is needed.
func (s *State) Delta(from uint64) (*config.Delta, bool) {
	if from >= s.config.Revision {
		return nil, from == s.config.Revision
	}
	i, _ := slices.BinarySearchFunc(s.recentChanges, from+1, func(a config.AppliedChange, r uint64) int {
		return int(int64(a.Revision) - int64(r))
	})
	if i == len(s.recentChanges) || s.recentChanges[i].Revision != from+1 {
		return nil, false
	}
	if i == 0 && len(s.recentChanges) >= maxRecentChanges {
		// The first changes of this revision may have been dropped.
		return nil, false
	}
	return &config.Delta{From: from, To: s.config.Revision, Changes: slices.Clone(s.recentChanges[i:])}, true
}

func (s *State) acquireLease(index uint64, a *LeaseAcquire) Result {
	if _, ok := s.config.Pools[a.Pool]; !ok {
		return refuse(fault.PoolUnknown, fault.NotRun, "the pool does not exist")
	}
	current := s.leases[a.Pool]
	// Two acquisitions in one log entry would share a fence, hence the comparison with
	// the index.
	if current.Fence != a.Previous || current.Fence >= index {
		return refuse(fault.StaleFence, fault.NotRun, "the pool has another lease")
	}
	s.leases[a.Pool] = wire.Lease{Pool: a.Pool, Host: a.Host, Boot: a.Boot, Fence: index}
	s.leasesVersion++
	return Result{}
}

// releaseLease removes the holder but keeps the fence, which the next LeaseAcquire has to
// name as Previous on all replicas.
func (s *State) releaseLease(_ uint64, lease wire.Lease) Result {
	if current := s.leases[lease.Pool]; lease.Host == "" || current != lease {
		return refuse(fault.StaleFence, fault.NotRun, "the lease is not held")
	}
	s.leases[lease.Pool] = wire.Lease{Pool: lease.Pool, Fence: lease.Fence}
	s.leasesVersion++
	return Result{}
}

// Lease returns the last lease of a pool. Its Host is empty after a release.
func (s *State) Lease(pool string) wire.Lease { return s.leases[pool] }

// Leases returns the held leases in order of pool names, and their version.
func (s *State) Leases() ([]wire.Lease, uint64) {
	out := make([]wire.Lease, 0, len(s.leases))
	for _, pool := range slices.Sorted(maps.Keys(s.leases)) {
		if l := s.leases[pool]; l.Host != "" {
			out = append(out, l)
		}
	}
	return out, s.leasesVersion
}

// Versions returns the versions of the leases and of the crash marks.
func (s *State) Versions() (leases, crashMarks uint64) { return s.leasesVersion, s.crashMarksVersion }

// ClaimUsage returns the number of claims and the total size of their kept answers in bytes.
func (s *State) ClaimUsage() (claims, keptBytes int) { return len(s.claims.byID), s.claims.keptBytes }
