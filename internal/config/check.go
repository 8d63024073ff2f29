package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"marigoldshunt/internal/fault"
)

// Bounds of the values of a configuration. They prevent one wrong digit in a file from
// exhausting memory or disabling a limit.
const (
	maxNameLength     = 64
	maxWeight         = 1e6
	maxRate           = 1e6
	maxBurst          = 1_000_000
	maxConcurrency    = 100_000
	maxQueueLength    = 100_000
	maxBodyBytes      = 64 << 20
	maxDuration       = 24 * time.Hour
	maxClaimRetention = 7 * 24 * time.Hour
	// minClaimRetention exceeds the 5 minutes by which the time in an idempotency key may
	// be ahead of the control group's clock.
	minClaimRetention = 10 * time.Minute
	maxKeepFor        = time.Hour
	maxCost           = 1e9
	maxKeyHashes      = 16
	maxPoolRefs       = 256
	maxRoutes         = 256
	maxWarmAfter      = 1_000_000
)

// invalid returns an InvalidConfig error that names the object and, if given, the key.
func invalid(ref ObjectRef, key, format string, args ...any) error {
	object := ref.Kind
	if ref.Name != "" {
		object = fmt.Sprintf("%s %q", ref.Kind, ref.Name)
	}
	if key != "" {
		object += ": " + key
	}
	return fault.New(fault.InvalidConfig, fault.NotRun, "%s: %s", object, fmt.Sprintf(format, args...))
}

// checker checks the fields of one object and keeps the first error.
type checker struct {
	ref ObjectRef
	err error
}

func (k *checker) fail(key, format string, args ...any) {
	if k.err == nil {
		k.err = invalid(k.ref, key, format, args...)
	}
}

func (k *checker) number(key string, v, low, high float64, lowAllowed bool) {
	// The comparison is negated so that it also refuses NaN.
	if !(v >= low && v <= high) || (v == low && !lowAllowed) {
		k.fail(key, "%v is not between %v and %v", v, low, high)
	}
}

func (k *checker) integer(key string, v, low, high int) {
	if v < low || v > high {
		k.fail(key, "%d is not between %d and %d", v, low, high)
	}
}

func (k *checker) duration(key string, v, low, high time.Duration) {
	if v < low || v > high {
		k.fail(key, "%v is not between %v and %v", v, low, high)
	}
}

func (k *checker) name(key, v string) {
	if v == "" {
		k.fail(key, "a name is required")
		return
	}
	if len(v) > maxNameLength {
		k.fail(key, "the name has %d bytes, at most %d are allowed", len(v), maxNameLength)
	}
	for _, r := range v {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("-_.:", r) {
			k.fail(key, "%q is not allowed in a name", r)
		}
	}
}

func (k *checker) address(key, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		k.fail(key, "%q is not a numeric address with a port", v)
		return
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Zone() != "" {
		k.fail(key, "%q is not an address that others can reach", v)
	}
	if a.String() != v {
		k.fail(key, "%q is written differently from its plain form %q", v, a.String())
	}
}

func (k *checker) hashes(key string, v []string) {
	k.integer(key, len(v), 0, maxKeyHashes)
	for i, h := range v {
		if b, err := hex.DecodeString(h); err != nil || len(b) != 32 || strings.ToLower(h) != h {
			k.fail(key, "entry %d is not a SHA-256 hash of 64 lower case hex digits", i+1)
		}
		if slices.Contains(v[:i], h) {
			k.fail(key, "entry %d occurs twice", i+1)
		}
	}
}

// check validates those fields of the change's object that need no other object.
func (change Change) check() error {
	ref, err := change.Ref()
	if err != nil {
		return err
	}
	k := &checker{ref: ref}
	switch {
	case change.Contract != nil:
		change.Contract.check(k)
	case change.Pool != nil:
		change.Pool.check(k)
	case change.Upstream != nil:
		k.name("name", change.Upstream.Name)
		k.name("pool", change.Upstream.Pool)
		k.name("data_centre", change.Upstream.DataCentre)
		k.address("address", change.Upstream.Address)
	case change.DataCentre != nil:
		k.name("name", change.DataCentre.Name)
	case change.Host != nil:
		k.name("name", change.Host.Name)
		k.name("data_centre", change.Host.DataCentre)
		k.address("caller_address", change.Host.CallerAddress)
		k.address("admin_address", change.Host.AdminAddress)
		k.address("peer_address", change.Host.PeerAddress)
	case change.Operator != nil:
		k.name("name", change.Operator.Name)
		k.hashes("key_hashes", change.Operator.KeyHashes)
		if len(change.Operator.KeyHashes) == 0 {
			k.fail("key_hashes", "an operator needs a credential")
		}
	case change.Policy != nil:
		change.Policy.check(k)
	}
	return k.err
}

func (o *Contract) check(k *checker) {
	k.name("account", o.Account)
	k.hashes("key_hashes", o.KeyHashes)
	k.number("weight", o.Weight, 0, maxWeight, false)
	k.number("requests_per_second", o.RequestsPerSecond, 0, maxRate, false)
	k.integer("burst", o.Burst, 1, maxBurst)
	k.integer("concurrency", o.Concurrency, 1, maxConcurrency)
	k.integer("queue_length", o.QueueLength, 0, maxQueueLength)
	k.integer("max_body_bytes", o.MaxBodyBytes, 1, maxBodyBytes)
	k.duration("max_run", o.MaxRun, time.Millisecond, maxDuration)
	k.duration("max_wait", o.MaxWait, time.Millisecond, maxDuration)
	k.integer("pools", len(o.Pools), 0, maxPoolRefs)
	for i, p := range o.Pools {
		k.name("pools", p)
		if slices.Contains(o.Pools[:i], p) {
			k.fail("pools", "pool %q occurs twice", p)
		}
	}
}

func (o *Pool) check(k *checker) {
	k.name("name", o.Name)
	if o.Kind != KindModel && o.Kind != KindService {
		k.fail("kind", "%q is neither %q nor %q", o.Kind, KindModel, KindService)
	}
	k.integer("profile.max_concurrency", o.Profile.MaxConcurrency, 1, maxConcurrency)
	k.integer("profile.cold_concurrency", o.Profile.ColdConcurrency, 1, o.Profile.MaxConcurrency)
	k.integer("profile.warm_after", o.Profile.WarmAfter, 1, maxWarmAfter)
	k.number("max_cost", o.MaxCost, 0, maxCost, false)
	k.number("default_cost", o.DefaultCost, 0, o.MaxCost, false)
	if o.Kind == KindModel && len(o.Routes) > 0 {
		k.fail("routes", "a model pool has no routes of its own")
	}
	k.integer("routes", len(o.Routes), 0, maxRoutes)
	for i, r := range o.Routes {
		key := fmt.Sprintf("routes[%d]", i)
		if !slices.Contains([]string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}, r.Method) {
			k.fail(key+".method", "%q is not a known method", r.Method)
		}
		if !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > 256 {
			k.fail(key+".path_prefix", "%q is not a path of at most 256 bytes", r.PathPrefix)
		}
		if slices.ContainsFunc(o.Routes[:i], func(q ServiceRoute) bool {
			return q.Method == r.Method && q.PathPrefix == r.PathPrefix
		}) {
			k.fail(key, "method %s and path %q occur twice", r.Method, r.PathPrefix)
		}
	}
}

func (o *Policy) check(k *checker) {
	k.duration("keep_for", o.KeepFor, time.Second, maxKeepFor)
	k.duration("claim_retention", o.ClaimRetention, minClaimRetention, maxClaimRetention)
	k.number("retry_percent", o.RetryPercent, 0, 100, true)
	k.number("loads_per_minute", o.LoadOrdersPerMinute, 0, maxRate, true)
	if math.IsNaN(o.RetryPercent) {
		k.fail("retry_percent", "a number is required")
	}
}

// checkReferences verifies that every object that the change refers to exists.
func (c *Config) checkReferences(change Change) error {
	ref, _ := change.Ref()
	switch {
	case change.Contract != nil:
		for _, p := range change.Contract.Pools {
			if _, ok := c.Pools[p]; !ok {
				return invalid(ref, "pools", "pool %q does not exist", p)
			}
		}
	case change.Upstream != nil:
		if _, ok := c.Pools[change.Upstream.Pool]; !ok {
			return invalid(ref, "pool", "pool %q does not exist", change.Upstream.Pool)
		}
		if _, ok := c.DataCentres[change.Upstream.DataCentre]; !ok {
			return invalid(ref, "data_centre", "data centre %q does not exist", change.Upstream.DataCentre)
		}
	case change.Host != nil:
		if _, ok := c.DataCentres[change.Host.DataCentre]; !ok {
			return invalid(ref, "data_centre", "data centre %q does not exist", change.Host.DataCentre)
		}
	}
	return nil
}

// checkUnreferenced refuses the deletion of an object that others refer to. The error
// names the first referrer by kind and name, so that all replicas give the same answer.
func (c *Config) checkUnreferenced(ref ObjectRef) error {
	referrer := ""
	addReferrer := func(kind, name string) {
		if u := fmt.Sprintf("%s %q", kind, name); referrer == "" || u < referrer {
			referrer = u
		}
	}
	switch ref.Kind {
	case ObjPool:
		for _, u := range c.Upstreams {
			if u.Pool == ref.Name {
				addReferrer(ObjUpstream, u.Name)
			}
		}
		for _, o := range c.Contracts {
			if slices.Contains(o.Pools, ref.Name) {
				addReferrer(ObjContract, o.Account)
			}
		}
	case ObjDataCentre:
		for _, u := range c.Upstreams {
			if u.DataCentre == ref.Name {
				addReferrer(ObjUpstream, u.Name)
			}
		}
		for _, h := range c.Hosts {
			if h.DataCentre == ref.Name {
				addReferrer(ObjHost, h.Name)
			}
		}
	}
	if referrer != "" {
		return invalid(ref, "", "still used by %s", referrer)
	}
	return nil
}
