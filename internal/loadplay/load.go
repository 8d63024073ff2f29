// Package loadplay simulates a load of generation requests on a simulated clock. It applies
// the decisions of the fleet and simpler policies to the load and measures what callers get.
//
// Engines are simulated by package enginemodel. With one seed all policies get the same
// requests.
package loadplay

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"marigoldshunt/internal/enginemodel"
	"marigoldshunt/internal/fault"
)

// Load describes the load to simulate.
type Load struct {
	// Length is the period in which requests arrive.
	Length time.Duration `toml:"length"`
	Seed   int64         `toml:"seed"`
	// Hosts and Engines are spread evenly over the DataCentres.
	Hosts       int `toml:"hosts"`
	DataCentres int `toml:"data_centres"`
	Engines     int `toml:"engines"`
	// Versions is the number of software versions of the engines, 0 for one. A stream goes on only at
	// the version that began it.
	Versions int `toml:"versions"`
	// MemoryTokens and PromptTokensPerMs depend on the type of engine; 0 selects the values
	// of enginemodel.TypicalOptions.
	MemoryTokens      int     `toml:"memory_tokens"`
	PromptTokensPerMs float64 `toml:"read_per_ms"`
	// TokensPerSecond is the contractual throughput of all engines together.
	TokensPerSecond float64 `toml:"tokens_per_second"`
	// MessageDelay is the time that a message takes between a host and the owner of a gate,
	// RatesDelay that of the rates which hosts report to each other.
	MessageDelay time.Duration `toml:"message_delay"`
	RatesDelay   time.Duration `toml:"rates_delay"`
	// HandlingTime is the time that a host spends on one attempt before it handles the next.
	HandlingTime time.Duration `toml:"handling_time"`
	// WarmUpTime is how long an engine is cold after an outage, ColdPerSecond the number of
	// requests that a cold engine gets in a second.
	WarmUpTime    time.Duration  `toml:"warm_up"`
	ColdPerSecond float64        `toml:"cold_per_second"`
	Kinds         []RequestKind  `toml:"kind"`
	Accounts      []Account      `toml:"account"`
	Surges        []Surge        `toml:"surge"`
	EngineOutages []EngineOutage `toml:"loss"`
	HostOutages   []HostOutage   `toml:"host_outage"`
}

// RequestKind is one kind of request.
type RequestKind struct {
	Name      string  `toml:"name"`
	PerSecond float64 `toml:"per_second"`
	// Shared describes the tree of shared prompt parts, one level per element, starting at
	// the beginning of the prompt. Count is the number of different parts in a level for
	// each part of the level before, Tokens the length of each.
	Shared []SharedPart `toml:"shared"`
	// OwnTokens and OutputTokens are means; requests differ from them by up to half.
	OwnTokens    int `toml:"own_tokens"`
	OutputTokens int `toml:"output_tokens"`
	// Objective is the allowed time to the first event, EventGap the longest allowed pause
	// between events, CallerTimeout the time after which the caller disconnects.
	Objective     time.Duration `toml:"objective"`
	EventGap      time.Duration `toml:"gap"`
	CallerTimeout time.Duration `toml:"patience"`
	// Worth is earned by a response in time, LateWorth by a late one.
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"`
	// MaxRetries is how often a refused caller retries.
	MaxRetries int `toml:"returns"`
}

// SharedPart is one level of shared prompt parts.
type SharedPart struct {
	Count  int `toml:"count"`
	Tokens int `toml:"tokens"`
}

// Account is a client account with its share of the load.
type Account struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	// OneHost is true for an account whose attempts all arrive at one host.
	OneHost bool `toml:"one_host"`
}

// Surge multiplies the load of one kind or account, or of all, for a period of time.
type Surge struct {
	At      time.Duration `toml:"at"`
	For     time.Duration `toml:"for"`
	Factor  float64       `toml:"factor"`
	Kind    string        `toml:"kind"`
	Account string        `toml:"account"`
}

// EngineOutage takes engines down for a period of time. They come back as newly started engines,
// with empty caches.
type EngineOutage struct {
	At  time.Duration `toml:"at"`
	For time.Duration `toml:"for"`
	// Engine is the first one, Count the number of engines, 0 for one.
	Engine int `toml:"engine"`
	Count  int `toml:"count"`
	// Stagger is the time from the return of one engine to that of the next. Notice is the time
	// until the hosts know of the outage.
	Stagger time.Duration `toml:"stagger"`
	Notice  time.Duration `toml:"notice"`
}

// HostOutage takes hosts down at once for a period of time. Callers then resume the streams that had
// begun there, and send their other requests again.
type HostOutage struct {
	At  time.Duration `toml:"at"`
	For time.Duration `toml:"for"`
	// Hosts is the number of hosts, 0 for all.
	Hosts int `toml:"hosts"`
}

// returnsAt returns when the hosts are back.
func (o *HostOutage) returnsAt() time.Duration { return o.At + o.For }

func (o *HostOutage) hostCount(l *Load) int {
	if o.Hosts == 0 {
		return l.Hosts
	}
	return min(o.Hosts, l.Hosts)
}

// upAgainAt returns when callers of the lost hosts find one that is up.
func (o *HostOutage) upAgainAt(l *Load) time.Duration {
	if o.hostCount(l) < l.Hosts {
		return o.At
	}
	return o.returnsAt()
}

// engineCount returns the number of engines of the outage.
func (o *EngineOutage) engineCount() int { return max(o.Count, 1) }

// returnsAt returns when the n-th engine of the outage comes back.
func (o *EngineOutage) returnsAt(n int) time.Duration {
	return o.At + o.For + time.Duration(n)*o.Stagger
}

// ReadFile reads a load from a TOML file. Unknown keys are an error.
func ReadFile(path string) (*Load, error) {
	var l Load
	meta, err := toml.DecodeFile(path, &l)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "", "load %s", path)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fault.New(fault.InvalidSettings, "", "load %s: unknown key %s", path, unknown[0])
	}
	return &l, l.Check()
}

// Check returns an error that names what is missing or out of range.
func (l *Load) Check() error {
	invalid := func(format string, args ...any) error {
		return fault.New(fault.InvalidSettings, "", format, args...)
	}
	if l.Length <= 0 || l.Hosts <= 0 || l.Engines <= 0 || l.DataCentres <= 0 {
		return invalid("length, hosts, engines and data_centres must be positive")
	}
	if len(l.Kinds) == 0 || len(l.Accounts) == 0 {
		return invalid("a load needs kinds and accounts")
	}
	for _, k := range l.Kinds {
		if k.PerSecond <= 0 || k.OwnTokens <= 0 || k.OutputTokens <= 0 || k.Objective <= 0 || k.EventGap <= 0 || k.CallerTimeout <= 0 || k.Worth <= 0 {
			return invalid("kind %q: per_second, own_tokens, output_tokens, objective, gap, patience and worth must be positive", k.Name)
		}
		for _, s := range k.Shared {
			if s.Count <= 0 || s.Tokens <= 0 {
				return invalid("kind %q: count and tokens of shared parts must be positive", k.Name)
			}
		}
	}
	for _, a := range l.Accounts {
		if a.Share <= 0 {
			return invalid("account %q: share must be positive", a.Name)
		}
	}
	for _, s := range l.EngineOutages {
		if s.Engine < 0 || s.Engine+s.engineCount() > l.Engines {
			return invalid("there is no engine %d to lose", s.Engine+s.engineCount()-1)
		}
	}
	return nil
}

// engineOptions returns the options of the simulated engines.
func (l *Load) engineOptions() enginemodel.Options {
	opts := enginemodel.TypicalOptions()
	if l.MemoryTokens > 0 {
		opts.MemoryTokens = l.MemoryTokens
	}
	if l.PromptTokensPerMs > 0 {
		opts.PromptTokensPerMs = l.PromptTokensPerMs
	}
	return opts
}

// Request is one request of a caller.
type Request struct {
	ID      uint64
	Kind    *RequestKind
	Account string
	// Host is where the first attempt arrives, and with OneHost each further one.
	Host    int
	OneHost bool
	Parts   []enginemodel.Part
	Output  int
	At      time.Time
}

// inputTokens returns the length of the prompt.
func (r *Request) inputTokens() (n int) {
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// simStart is the simulated time at which a run starts.
var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// requests generates the requests of a load in the order of their arrival.
func (l *Load) requests() []*Request {
	rng := rand.New(rand.NewSource(l.Seed))
	var out []*Request
	for i := range l.Kinds {
		for j := range l.Accounts {
			out = append(out, l.generate(rng, i, j)...)
		}
	}
	slices.SortFunc(out, func(a, b *Request) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) })
	for i, r := range out {
		r.ID = uint64(i + 1)
	}
	return out
}

func (l *Load) totalShare() (sum float64) {
	for _, a := range l.Accounts {
		sum += a.Share
	}
	return sum
}

// generate generates the requests of one kind and account, with exponentially distributed
// times between them.
func (l *Load) generate(rng *rand.Rand, kind, account int) (out []*Request) {
	k, a := &l.Kinds[kind], &l.Accounts[account]
	at := time.Duration(0)
	for {
		rate := k.PerSecond * a.Share / l.totalShare() * l.surgeFactor(k.Name, a.Name, at)
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= l.Length {
			return out
		}
		r := &Request{
			ID: uint64(len(out)), Kind: k, Account: a.Name, Host: rng.Intn(l.Hosts), OneHost: a.OneHost, At: simStart.Add(at),
			Parts: k.prompt(rng, kind), Output: randomAround(rng, k.OutputTokens),
		}
		if a.OneHost {
			r.Host = account % l.Hosts
		}
		out = append(out, r)
	}
}

func (l *Load) surgeFactor(kind, account string, at time.Duration) float64 {
	f := 1.0
	for _, s := range l.Surges {
		matches := (s.Kind == "" || s.Kind == kind) && (s.Account == "" || s.Account == account)
		if matches && at >= s.At && at < s.At+s.For {
			f *= s.Factor
		}
	}
	return f
}

// randomAround returns a random number that is mean on average and differs from it by at
// most half.
func randomAround(rng *rand.Rand, mean int) int { return max(mean/2+rng.Intn(mean+1), 1) }

// prompt generates the parts of a prompt. The ID of a shared part encodes its path in the
// tree of shared parts.
func (k *RequestKind) prompt(rng *rand.Rand, kind int) []enginemodel.Part {
	id := uint64(kind + 1)
	var parts []enginemodel.Part
	for _, s := range k.Shared {
		id = id<<12 | uint64(rng.Intn(s.Count)+1)
		parts = append(parts, enginemodel.Part{ID: id, Tokens: s.Tokens})
	}
	return append(parts, enginemodel.Part{ID: rng.Uint64() | 1<<63, Tokens: randomAround(rng, k.OwnTokens)})
}
