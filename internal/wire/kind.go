package wire

import "strconv"

// Kind names the type of a message's payload.
type Kind uint8

// Kinds of messages.
const (
	KindTicket Kind = iota + 1
	KindCancel
	KindFinish
	KindRouterHeartbeat
	KindSync
	KindGrant
	KindRefusal
	KindRenew
	KindRenewAck
	KindPropose
	KindProposeAck
	KindRaft
	KindGrantReturn
	KindForm
	KindFormAck
	KindChunk
	KindSyncRequest
	KindLoads
	KindLeaderAnnouncement
	KindAdmissionRequest
	KindAdmissionReply
	KindAdmissionProgress
	KindLoadSums
	KindCatalog
	KindCatalogRequest
	KindCatalogCheck
	KindCatalogState
	// KindCompressedRenewAck is a RenewAck that Compress has compressed.
	KindCompressedRenewAck
	KindFragment
	KindAdmissionUnreachable
)

// kindNames are the names of the kinds in logs, in the order of the constants.
var kindNames = [...]string{
	KindTicket:             "ticket",
	KindCancel:             "cancel",
	KindFinish:             "finish",
	KindRouterHeartbeat:    "router_heartbeat",
	KindSync:               "sync",
	KindGrant:              "grant",
	KindRefusal:            "refusal",
	KindRenew:              "renew",
	KindRenewAck:           "renew_ack",
	KindPropose:            "propose",
	KindProposeAck:         "propose_ack",
	KindRaft:               "raft",
	KindGrantReturn:        "grant_return",
	KindForm:               "form",
	KindFormAck:            "form_ack",
	KindChunk:              "chunk",
	KindSyncRequest:        "sync_request",
	KindLoads:              "loads",
	KindLeaderAnnouncement: "leader_announcement",
	KindAdmissionRequest:   "admission_request",
	KindAdmissionReply:     "admission_reply",
	KindAdmissionProgress:  "admission_progress",
	KindLoadSums:           "load_sums",
	KindCatalog:            "catalog",
	KindCatalogRequest:     "catalog_request",
	KindCatalogCheck:       "catalog_check",
	KindCatalogState:       "catalog_state",
	KindCompressedRenewAck: "compressed_renew_ack",
	KindFragment:           "fragment",

	KindAdmissionUnreachable: "admission_unreachable",
}

// String returns the name of the kind in logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return "kind_" + strconv.Itoa(int(k))
}
