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
// the configuration it hands out is immutable.
type State struct {
	index    uint64
	now      int64
	formedBy string

	config *config.Config
	// recent holds the changes since the last restore, for deltas. It is not part of
	// the replicated state.
	recent []config.Applied

	answers     map[string]answer
	answerOrder []string

	leases        map[string]wire.Lease
	leasesVersion uint64

	claims claimTable

	marks        []Mark
	marksVersion uint64

	orders map[uint64]PendingOrder
}

// answer is the kept answer to an operator's request. Digest tells a resend from
// another request with the same id.
type answer struct {
	Digest [16]byte
	Result Result
}

// New returns an empty state. formedBy is the request that formed the group.
func New(formedBy string) *State {
	return &State{
		formedBy: formedBy,
		config:   config.New(),
		answers:  map[string]answer{},
		leases:   map[string]wire.Lease{},
		claims:   newClaimTable(),
		orders:   map[uint64]PendingOrder{},
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
	s.advance(b.Time)
	out := make([]Result, len(b.Commands))
	for i, cmd := range b.Commands {
		out[i] = s.Apply(index, cmd)
	}
	s.index = max(s.index, index)
	return out
}

// Skip records an index that holds no commands.
func (s *State) Skip(index uint64) { s.index = max(s.index, index) }

// advance moves the state's time forward. It never goes back, so that an expired key
// stays expired when a leader with a slower clock takes over.
func (s *State) advance(now int64) {
	if now <= s.now {
		return
	}
	s.now = now
	s.claims.expire(now - s.config.Policy.ClaimRetention.Milliseconds())
	keep := now - MarkRetention.Milliseconds()
	n := len(s.marks)
	s.marks = slices.DeleteFunc(s.marks, func(m Mark) bool { return m.At < keep })
	if len(s.marks) != n {
		s.marksVersion++
	}
}

// Apply applies one command at a log index. A command that cannot be decoded has no
// effect and returns BadRequest.
func (s *State) Apply(index uint64, cmd []byte) Result {
	s.index = max(s.index, index)
	var c Command
	if err := wire.Unmarshal(cmd, &c); err != nil {
		return refuse(fault.BadRequest, fault.NotRun, "the command cannot be decoded")
	}
	switch {
	case c.Config != nil:
		return s.once(c.Config.Operator, c.Config.RequestID, cmd, func(string) Result { return s.change(c.Config) })
	case c.Acquire != nil:
		return s.acquire(index, c.Acquire)
	case c.Release != nil:
		return s.release(index, c.Release.Lease)
	case c.Claim != nil:
		return s.claims.open(s.now, c.Claim)
	case c.Finish != nil:
		return s.claims.finish(c.Finish)
	case c.Unclaim != nil:
		return s.claims.release(c.Unclaim)
	case c.Mark != nil:
		return s.mark(*c.Mark)
	case c.Order != nil:
		return s.once("order\x00"+c.Order.Order.Operator, c.Order.RequestID, cmd, func(key string) Result { return s.issue(index, key, c.Order) })
	case c.OrderDone != nil:
		return s.orderDone(c.OrderDone)
	}
	return refuse(fault.BadRequest, fault.NotRun, "the command is empty")
}

// once runs a request of an operator unless its answer is known.
func (s *State) once(operator, requestID string, cmd []byte, run func(key string) Result) Result {
	if requestID == "" || len(requestID) > maxIDLength || len(operator) > 2*maxIDLength {
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
	if len(s.answerOrder) >= MaxAnswers {
		delete(s.answers, s.answerOrder[0])
		s.answerOrder = s.answerOrder[1:]
	}
	s.answers[key] = answer{Digest: digest, Result: r}
	s.answerOrder = append(s.answerOrder, key)
	return r
}

// refuseBootstrap refuses a bootstrap credential once operators are configured. A host
// that has not learnt the configuration yet still accepts that credential.
func (s *State) refuseBootstrap(operator string) (Result, bool) {
	if operator != config.BootstrapOperator || len(s.config.Operators) == 0 {
		return Result{}, false
	}
	return refuse(fault.Forbidden, fault.NotRun, "the configuration has operators; the bootstrap credential has ended"), true
}

func (s *State) change(c *ConfigChange) Result {
	if r, refused := s.refuseBootstrap(c.Operator); refused {
		return r
	}
	if n := len(c.Changes); n == 0 || n > maxChanges {
		return refuse(fault.InvalidConfig, fault.NotRun, "a request holds between 1 and 20000 changes")
	}
	next, err := s.config.ApplyAll(c.Changes, s.config.Revision+1)
	if err != nil {
		return failed(err)
	}
	replaced := next.Routing != s.config.Routing
	s.config = next
	for _, ch := range c.Changes {
		switch {
		case ch.Routing != nil && replaced:
			s.supersedeRouting()
		case ch.Routing != nil:
			ch = supersededRouting(ch.Routing)
		}
		s.recent = append(s.recent, config.Applied{Revision: next.Revision, Change: ch})
	}
	if extra := len(s.recent) - maxRecent; extra > maxRecent/4 {
		s.recent = slices.Clone(s.recent[extra:])
	}
	// A shorter retention expires keys at once; a longer one does not revive any.
	s.claims.expire(s.now - next.Policy.ClaimRetention.Milliseconds())
	return Result{Revision: next.Revision}
}

// supersedeRouting drops the content of the last routing document among the recent
// changes. A document is replaced as a whole, so a delta needs only the newest one, and
// hundreds of whole documents would not fit into the memory of a small host.
func (s *State) supersedeRouting() {
	for i := len(s.recent) - 1; i >= 0; i-- {
		r := s.recent[i].Change.Routing
		if r == nil {
			continue
		}
		if !r.Superseded {
			s.recent[i].Change = supersededRouting(r)
		}
		return
	}
}

// supersededRouting stands for a document that is not in force, in deltas.
func supersededRouting(r *config.Routing) config.Change {
	return config.Change{Routing: &config.Routing{Version: r.Version, Superseded: true}}
}

// maxRecent is the number of changes kept for deltas: 3,100 changes a day cover more
// than a day, so that only hosts with an empty memory need a whole configuration.
const maxRecent = 4_096

// Delta returns the changes after a revision, or false when they are no longer known
// and the whole configuration is needed.
func (s *State) Delta(from uint64) (*config.Delta, bool) {
	if from >= s.config.Revision {
		return nil, from == s.config.Revision
	}
	i, _ := slices.BinarySearchFunc(s.recent, from+1, func(a config.Applied, r uint64) int {
		return int(int64(a.Revision) - int64(r))
	})
	if i == len(s.recent) || s.recent[i].Revision != from+1 {
		return nil, false
	}
	if i == 0 && len(s.recent) >= maxRecent {
		// The first changes of this revision may have been dropped.
		return nil, false
	}
	return &config.Delta{From: from, To: s.config.Revision, Changes: slices.Clone(s.recent[i:])}, true
}

func (s *State) acquire(index uint64, a *LeaseAcquire) Result {
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

// release keeps the entry of the pool without a holder, so that the next acquisition
// names the same previous fence on all replicas.
func (s *State) release(_ uint64, l wire.Lease) Result {
	if current := s.leases[l.Pool]; l.Host == "" || current != l {
		return refuse(fault.StaleFence, fault.NotRun, "the lease is not held")
	}
	s.leases[l.Pool] = wire.Lease{Pool: l.Pool, Fence: l.Fence}
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

func (s *State) mark(m Mark) Result {
	if len(m.Pool) > maxIDLength || len(m.Upstream) > maxIDLength || m.Upstream == "" {
		return refuse(fault.BadRequest, fault.NotRun, "the names in a crash mark have 1 to 64 bytes")
	}
	m.At = s.now
	s.marks = slices.DeleteFunc(s.marks, func(o Mark) bool {
		return o.Pool == m.Pool && o.Fingerprint == m.Fingerprint && o.Upstream == m.Upstream
	})
	if len(s.marks) >= MaxMarks {
		s.marks = s.marks[1:]
	}
	s.marks = append(s.marks, m)
	s.marksVersion++
	return Result{}
}

// Versions returns the versions of the leases and of the crash marks.
func (s *State) Versions() (leases, marks uint64) { return s.leasesVersion, s.marksVersion }

// Marks returns a copy of the crash marks, oldest first, and their version.
func (s *State) Marks() ([]Mark, uint64) { return slices.Clone(s.marks), s.marksVersion }

// Claims returns the number of claims and of bytes of kept answers.
func (s *State) Claims() (claims, keptBytes int) { return len(s.claims.byID), s.claims.kept }
