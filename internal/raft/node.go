package raft

import "marigoldshunt/internal/fault"

// Node is one replica.
type Node struct{}

var errTODO = fault.New(fault.Internal, "", "not implemented")

// New returns a replica with the restored state.
func New(cfg Config, r Restored) (*Node, error) { return nil, errTODO }

// Tick advances the replica's clock.
func (n *Node) Tick() {}

// Step handles a message.
func (n *Node) Step(m Message) error { return errTODO }

// Propose appends a command on the leader.
func (n *Node) Propose(data []byte) (index, term uint64, err error) { return 0, 0, errTODO }

// ProposeMembers appends a membership on the leader.
func (n *Node) ProposeMembers(next []Member) (index, term uint64, err error) { return 0, 0, errTODO }

// ReadIndex asks for a linearizable read.
func (n *Node) ReadIndex(seq uint64) error { return errTODO }

// HasReady reports whether Ready has work.
func (n *Node) HasReady() bool { return false }

// Ready returns the work for the caller.
func (n *Node) Ready() Ready { return Ready{} }

// Advance says that the work of rd is done.
func (n *Node) Advance(rd Ready) {}

// NewSnapshot returns a snapshot of the applied state at index, with its term and members.
func (n *Node) NewSnapshot(index uint64, data []byte) (Snapshot, error) { return Snapshot{}, errTODO }

// Compact drops entries up to s.Index.
func (n *Node) Compact(s Snapshot) error { return errTODO }

// Status describes the replica.
func (n *Node) Status() Status { return Status{} }
