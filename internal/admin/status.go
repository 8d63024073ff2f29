package admin

import "marigoldshunt/internal/dispatch"

// Status is the JSON form of a host's status that marigoldshuntctl reads. A daemon may
// add fields.
type Status struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Version    string `json:"version"`
	Boot       uint64 `json:"boot"`
	Leaving    bool   `json:"leaving"`
	// Revision is the applied configuration revision; ConfigAgeMS is the time since it
	// was last confirmed.
	Revision    uint64 `json:"revision"`
	ConfigAgeMS int64  `json:"config_age_ms"`
	// Leader is the control leader that the host knows.
	Leader string `json:"leader"`
	// Control is nil on hosts without the control role.
	Control *ControlStatus `json:"control,omitempty"`
	// Waiting and Running count the requests of this host's router.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// RunningByUpstream counts the requests that this host's router has at each upstream.
	RunningByUpstream map[string]int `json:"running_by_upstream,omitempty"`
	// Pools are the pools that this host schedules.
	Pools []PoolStatus `json:"pools,omitempty"`
	// Edge is nil on hosts without routed services.
	Edge *EdgeStatus `json:"edge,omitempty"`
	// Hosts is the liveness of all hosts as the control leader last announced it.
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

// ControlMember is one replica of the control group. Match is the log index that it is
// known to hold, 0 when the answering host is not the leader.
type ControlMember struct {
	Host    string `json:"host"`
	Replica uint64 `json:"replica"`
	Voter   bool   `json:"voter"`
	Match   uint64 `json:"match"`
}

// PoolStatus describes a pool at its scheduler.
type PoolStatus struct {
	Pool      string           `json:"pool"`
	Fence     uint64           `json:"fence"`
	Waiting   int              `json:"waiting"`
	Running   int              `json:"running"`
	Upstreams []UpstreamStatus `json:"upstreams,omitempty"`
}

// UpstreamStatus describes an upstream at its scheduler.
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
	// Running counts the requests of callers being served.
	Running int `json:"running"`
	// ListAgeMS is the time since the list of instances was last read, by any host; -1
	// before the first list.
	ListAgeMS int64                     `json:"list_age_ms"`
	Instances []dispatch.InstanceStatus `json:"instances"`
}

// HostStatus is the liveness of a host.
type HostStatus struct {
	Host    string `json:"host"`
	Boot    uint64 `json:"boot"`
	Alive   bool   `json:"alive"`
	Leaving bool   `json:"leaving"`
}
