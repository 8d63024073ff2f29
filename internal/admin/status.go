package admin

import (
	"time"

	"marigoldshunt/internal/dispatch"
)

// Status is the status of a host as marigoldshuntctl reads it. A daemon may add fields
// to the JSON object. Boot identifies the run of the daemon: its start time in Unix
// milliseconds.
type Status struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Version    string `json:"version"`
	Boot       uint64 `json:"boot"`
	Leaving    bool   `json:"leaving"`
	// Revision is the revision of the applied configuration; ConfigAgeMS is the time
	// since it was last confirmed.
	Revision    uint64 `json:"revision"`
	ConfigAgeMS int64  `json:"config_age_ms"`
	// Leader is the leader of the control group as far as the host knows.
	Leader string `json:"leader"`
	// Control is nil on hosts without the control role.
	Control *ControlStatus `json:"control,omitempty"`
	// Waiting and Running count the requests of this host's router.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// RunningByUpstream counts the requests of this host's router that run at each upstream.
	RunningByUpstream map[string]int `json:"running_by_upstream,omitempty"`
	// Pools are the pools that this host schedules.
	Pools []PoolStatus `json:"pools,omitempty"`
	// Edge is nil on hosts without routed services.
	Edge *EdgeStatus `json:"edge,omitempty"`
	// Hosts is the liveness of all hosts as last announced by the leader of the control
	// group.
	Hosts []HostStatus `json:"hosts,omitempty"`
}

// ControlStatus describes a member of the control group.
type ControlStatus struct {
	Formed  bool            `json:"formed"`
	Role    string          `json:"role"`
	Replica uint64          `json:"replica"`
	Term    uint64          `json:"term"`
	Commit  uint64          `json:"commit"`
	Applied uint64          `json:"applied"`
	Members []ControlMember `json:"members,omitempty"`
	// Failure is the storage error that ended the control role, if any.
	Failure string `json:"failure,omitempty"`
}

// ControlMember is one replica of the control group. Match is the log index up to which
// the replica is known to hold the log; 0 when the answering host is not the leader.
type ControlMember struct {
	Host    string `json:"host"`
	Replica uint64 `json:"replica"`
	Voter   bool   `json:"voter"`
	Match   uint64 `json:"match"`
}

// PoolStatus describes a pool as its scheduler sees it.
type PoolStatus struct {
	Pool      string           `json:"pool"`
	Fence     uint64           `json:"fence"`
	Waiting   int              `json:"waiting"`
	Running   int              `json:"running"`
	Upstreams []UpstreamStatus `json:"upstreams,omitempty"`
}

// UpstreamStatus describes an upstream as the scheduler of its pool sees it.
type UpstreamStatus struct {
	Name    string `json:"name"`
	State   string `json:"state"`
	Limit   int    `json:"limit"`
	Running int    `json:"running"`
}

// EdgeStatus describes the routed services of a host.
type EdgeStatus struct {
	Ready bool `json:"ready"`
	// Version is the version of the routing document in force.
	Version uint64 `json:"version"`
	// Running counts the caller requests in progress.
	Running int `json:"running"`
	// ListAgeMS is the time since any host last read the list of instances; -1 before
	// the first list.
	ListAgeMS int64                     `json:"list_age_ms"`
	Instances []dispatch.InstanceStatus `json:"instances"`
	// Quarantined is what the host refuses because it crashed upstreams, the oldest first.
	Quarantined []QuarantineStatus `json:"quarantined,omitempty"`
}

// QuarantineStatus describes a quarantined request or prompt part.
type QuarantineStatus struct {
	// Fingerprint is its name in POST /v1/quarantine/lift.
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	// PromptPart is the hexadecimal id of the part, empty for a whole request.
	PromptPart string `json:"prompt_part,omitempty"`
	// Since is the time of the crash that was one too many, NextTrial when a request may try it at
	// the earliest.
	Since     time.Time `json:"since"`
	NextTrial time.Time `json:"next_trial"`
	// Crashes are those that count, the oldest first.
	Crashes []CrashStatus `json:"crashes"`
}

// CrashStatus is the crash of an instance.
type CrashStatus struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
}

// HostStatus is the liveness of a host. Boot is as in Status.
type HostStatus struct {
	Host    string `json:"host"`
	Boot    uint64 `json:"boot"`
	Alive   bool   `json:"alive"`
	Leaving bool   `json:"leaving"`
}
