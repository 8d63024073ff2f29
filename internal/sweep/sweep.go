// Package sweep measures how the load and the times of a fleet grow with the number of
// hosts. It runs the decision packages of all hosts in one process, on a simulated clock
// and network. With one seed, messages, bytes and simulated times repeat; decision times
// and memory are measured on the machine.
package sweep

import (
	"context"
	"fmt"
	"time"

	"marigoldshunt/internal/fault"
)

// Options of a sweep.
type Options struct {
	// Sizes are the numbers of hosts to measure.
	Sizes []int
	Seed  int64
	// Length is the simulated time over which traffic is counted.
	Length time.Duration
	// Progress is called with a short text before each part; nil means that nothing is called.
	Progress func(string)
}

// Traffic is what hosts send and receive of one kind of traffic per second, frame headers
// included and TCP and IP excluded. Messages of a host to itself don't count.
type Traffic struct {
	// Messages is the mean number of messages that a host sends per second.
	Messages float64 `json:"messages_per_second"`
	// The mean is the same for sent and received bytes per second.
	MeanBytes float64 `json:"mean_bytes_per_second"`
	// MaxOutBytes and MaxInBytes are those of the busiest host; MedianInBytes is that of a
	// host without a special role.
	MaxOutBytes   float64 `json:"max_out_bytes_per_second"`
	MaxInBytes    float64 `json:"max_in_bytes_per_second"`
	MedianInBytes float64 `json:"median_in_bytes_per_second"`
}

// Measurement holds the figures of one size.
type Measurement struct {
	Hosts int `json:"hosts"`
	// Decision is the time for ranking a request and choosing its instance.
	Decision time.Duration `json:"decision_ns"`
	// Control covers the messages of the control group and its clients, Loads those of the
	// exchange of loads, Gates those of admission.
	Control Traffic `json:"control"`
	Loads   Traffic `json:"loads"`
	Gates   Traffic `json:"gates"`
	// ControlMemory and DispatchMemory are the heap bytes per host of the control client with
	// its part of the group, and of the dispatcher with loads and gates.
	ControlMemory  float64 `json:"control_memory_bytes"`
	DispatchMemory float64 `json:"dispatch_memory_bytes"`
	// LostHostAgreed is the time from the loss of a host until every other host knows it.
	LostHostAgreed time.Duration `json:"lost_host_agreed_ns"`
	// ChangeInForce is the time from a change's proposal until every host has applied it.
	ChangeInForce time.Duration `json:"change_in_force_ns"`
	// Document is the spread of a routing document of documentRoutes routes, Route that of the change of
	// one of them.
	Document Spread `json:"document"`
	Route    Spread `json:"route"`
	// GroupRecovered is the time from the loss of the control leader until a new leader has
	// confirmed the configuration of every host.
	GroupRecovered time.Duration `json:"group_recovered_ns"`
	// DemandError is the 95th percentile, over hosts and the accounts of their callers, of the
	// relative error of an account's demand over all hosts as a host sees it.
	DemandError float64 `json:"demand_error_p95"`
}

// Report is the result of a sweep.
type Report struct {
	Seed         int64         `json:"seed"`
	Length       time.Duration `json:"length_ns"`
	Measurements []Measurement `json:"measurements"`
}

const (
	minHosts = 5
	maxHosts = 1_000
)

// Run measures each size. It returns an InvalidSettings error for sizes out of range and
// a Timeout error if a simulated fleet does not reach a state in time.
func Run(ctx context.Context, o Options) (*Report, error) {
	if len(o.Sizes) == 0 || o.Length < time.Second {
		return nil, fault.New(fault.InvalidSettings, "", "a sweep needs sizes and a length of at least 1 s")
	}
	rep := &Report{Seed: o.Seed, Length: o.Length}
	for _, n := range o.Sizes {
		if n < minHosts || n > maxHosts {
			return nil, fault.New(fault.InvalidSettings, "", "%d hosts are out of range: %d to %d", n, minHosts, maxHosts)
		}
		if err := ctx.Err(); err != nil {
			return rep, fault.Wrap(err, fault.Timeout, "", "the sweep was interrupted")
		}
		if o.Progress != nil {
			o.Progress(fmt.Sprintf("Measuring %d hosts.", n))
		}
		m := Measurement{Hosts: n}
		if err := measureControl(&m, o); err != nil {
			return rep, err
		}
		if err := measureDispatch(&m, o); err != nil {
			return rep, err
		}
		rep.Measurements = append(rep.Measurements, m)
	}
	return rep, nil
}

// hostName returns the name of a host. Hosts are named by their addresses.
func hostName(i int) string { return fmt.Sprintf("10.1.%d.%d", i/250, i%250+1) }

// dataCentres is the number of data centres at the target scale.
const dataCentres = 5

func dataCentreName(host int) string { return fmt.Sprint("centre-", host%dataCentres) }
