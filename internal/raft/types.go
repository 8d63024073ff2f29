// Package raft is the consensus core of the control group: a state machine without
// I/O, clock, goroutines or locks. Messages and ticks go in; entries to save, messages
// to send and committed entries come out through Ready.
//
// Invariants:
//
//   - Election safety: at most one leader per term. A replica votes at most once per
//     term, and the vote is saved before the response is sent. A candidate counts only
//     voters of its own membership, and a replica that its own membership does not list
//     never votes.
//   - Leader append-only: a leader never changes or drops entries of its own log.
//   - Log matching: two logs that hold an entry with the same index and term are equal
//     up to that entry. An append is accepted only if the preceding entry matches.
//   - Leader completeness: a committed entry is in the log of every later leader. Votes
//     go only to candidates whose log is at least as up-to-date, and a leader counts
//     replicas only for entries of its current term.
//   - State machine safety: replicas apply the same entry at each index, because only
//     committed entries are handed out and entries up to the commit index are never
//     replaced.
//   - Durability: a replica, the leader included, counts towards the commit of an entry
//     only after its caller has saved the entry, see Ready and Advance.
//   - Membership: a membership takes effect as soon as it is appended; the next one is
//     accepted only after that one is committed, and differs by at most one voter.
//     Majorities of two consecutive memberships therefore always overlap.
package raft

import "math/rand"

// ReplicaID identifies one replica. It is created with the replica's disk, so a host
// that lost its disk returns with a different id. Zero means none.
type ReplicaID uint64

// Member is one replica of the group. A learner receives the log but is never asked for
// a vote and does not count towards a majority.
type Member struct {
	ID      ReplicaID
	Host    string
	Learner bool
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Kinds of log entries.
const (
	// EntryCommand carries a command for the replicated state in Data.
	EntryCommand EntryKind = iota + 1
	// EntryMembers carries a new membership in Members.
	EntryMembers
	// EntryNoop starts a term. It lets the leader commit the entries of earlier terms.
	EntryNoop
)

// Entry is one position of the replicated log. Data is never changed after Propose.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
	Members     []Member
}

// HardState is the part of the state, besides the log, that has to survive a restart.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// Snapshot replaces the log up to Index. Members is the membership in effect at Index.
// A group is formed by saving the same snapshot, which lists its first voters, on each
// of them (see Bootstrap).
type Snapshot struct {
	Index, Term uint64
	Members     []Member
	Data        []byte
}

// Restored is the durable state from which a replica starts.
type Restored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// Kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	MsgSnapshot
)

// Message is sent between replicas. Messages may be lost, repeated and reordered.
// The receiver of a request may not know the sender as a member yet, for example because
// it has no membership, so the caller routes responses to the host from which the request
// came.
type Message struct {
	Kind     MessageKind
	From, To ReplicaID
	Term     uint64
	// LogTerm and Index identify the entry before Entries in MsgAppend and the last entry
	// of the candidate in vote requests. In responses Index is the acknowledged or
	// rejected entry.
	LogTerm, Index uint64
	Commit         uint64
	Entries        []Entry
	Snapshot       *Snapshot
	Reject         bool
	// Hint is the highest index at which the logs may match, and LogTerm its term, in a
	// response that rejects an append.
	Hint uint64
	// ReadSeq is the leader's confirmation round in heartbeats and their responses.
	ReadSeq uint64
}

// ReadResult reports that the read requested as Seq is linearizable once Index is
// applied.
type ReadResult struct{ Seq, Index uint64 }

// Ready is the work for the caller, in this order: save Snapshot, then Entries and Hard,
// durably; send Messages, restore Snapshot, apply Committed and answer Reads; call
// Advance. Messages acknowledge entries and votes of this Ready, so sending one before
// the save breaks durability. A saved entry replaces all saved entries with the same or
// a higher index.
type Ready struct {
	// Hard is nil when it need not be saved. A new commit index alone is not worth a sync;
	// a replica learns it again after a restart.
	Hard      *HardState
	Entries   []Entry
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
}

// Config holds the parameters of a Node.
type Config struct {
	ID ReplicaID
	// HeartbeatTicks is the interval between heartbeats; ElectionTicks is the minimum
	// election timeout. The actual timeout is random between one and two times
	// ElectionTicks.
	HeartbeatTicks, ElectionTicks int
	Rand                          *rand.Rand
	// MaxBatchBytes bounds the entry bytes of one MsgAppend; a single larger entry is
	// still sent. Zero means DefaultMaxBatchBytes.
	MaxBatchBytes int
}

// DefaultMaxBatchBytes keeps a MsgAppend well below the 1 MiB frame limit of the peer
// protocol.
const DefaultMaxBatchBytes = 256 << 10

// Role is the current role of a replica.
type Role uint8

// Roles of replicas. Learners and replicas without a membership are followers.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r&3]
}

// Status describes a replica. Match and RecentlyActive are set on a leader only.
// LeaderHost is empty while the leader is unknown or not in the membership.
type Status struct {
	Role                                 Role
	Term                                 uint64
	Leader                               ReplicaID
	LeaderHost                           string
	Commit, Applied, Last, SnapshotIndex uint64
	Members                              []Member
	Match                                map[ReplicaID]uint64
	RecentlyActive                       map[ReplicaID]bool
}

// Bootstrap returns the snapshot that forms a group with the given first voters.
func Bootstrap(members []Member) Snapshot {
	return Snapshot{Index: 1, Term: 1, Members: members}
}
