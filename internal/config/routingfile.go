package config

import (
	"encoding/json"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

// fileRouting is the TOML structure of the routing document in a configuration file.
type fileRouting struct {
	Version uint64 `toml:"version"`
	Limits  struct {
		HeaderBytes     int          `toml:"header_bytes"`
		BodyBytes       int          `toml:"body_bytes"`
		HeaderTimeout   fileDuration `toml:"header_timeout"`
		IdleTimeout     fileDuration `toml:"idle_timeout"`
		TokensPerSecond float64      `toml:"tokens_per_second"`
	} `toml:"limits"`
	Route   []fileRoute   `toml:"route"`
	Service []fileService `toml:"service"`
	Account []struct {
		Name        string   `toml:"name"`
		Credentials []string `toml:"credentials"`
		Priority    *int     `toml:"priority"`
	} `toml:"account"`
}

type fileRoute struct {
	Name           string       `toml:"name"`
	Host           string       `toml:"host"`
	PathPrefix     string       `toml:"path_prefix"`
	Kind           routing.Kind `toml:"kind"`
	Attempts       int          `toml:"attempts"`
	Timeout        fileDuration `toml:"timeout"`
	Objective      fileDuration `toml:"objective"`
	EventGap       fileDuration `toml:"event_gap"`
	Priority       int          `toml:"priority"`
	Public         bool         `toml:"public"`
	Resumable      bool         `toml:"resumable"`
	PromptAffinity bool         `toml:"prompt_affinity"`
	Split          []struct {
		Service string `toml:"service"`
		Weight  int    `toml:"weight"`
	} `toml:"split"`
}

type fileService struct {
	Name           string       `toml:"name"`
	HealthPath     string       `toml:"health_path"`
	MaxConnections int          `toml:"max_connections"`
	ColdFor        fileDuration `toml:"cold_for"`
	ColdPerSecond  float64      `toml:"cold_per_second"`
	Engine         *struct {
		Slots          int `toml:"slots"`
		MemoryTokens   int `toml:"memory_tokens"`
		TokensPerEvent int `toml:"tokens_per_event"`
	} `toml:"engine"`
}

// fileDuration is a duration with a unit. The TOML decoder refuses a number without one.
type fileDuration time.Duration

// UnmarshalText parses a duration.
func (d *fileDuration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = fileDuration(v)
	return err
}

// document returns the checked routing document of a file.
func (f *fileRouting) document() (*routing.Document, error) {
	d := &routing.Document{Version: f.Version, Limits: routing.Limits{
		HeaderBytes: f.Limits.HeaderBytes, BodyBytes: f.Limits.BodyBytes,
		HeaderTimeout: time.Duration(f.Limits.HeaderTimeout), IdleTimeout: time.Duration(f.Limits.IdleTimeout),
		TokensPerSecond: f.Limits.TokensPerSecond,
	}}
	for _, r := range f.Route {
		converted := routing.Route{
			Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Kind: r.Kind, Attempts: max(r.Attempts, 1),
			Timeout: time.Duration(r.Timeout), Objective: time.Duration(r.Objective), EventGap: time.Duration(r.EventGap),
			Priority: r.Priority, Public: r.Public, Resumable: r.Resumable, PromptAffinity: r.PromptAffinity,
		}
		for _, s := range r.Split {
			converted.Split = append(converted.Split, routing.WeightedService{Service: s.Service, Weight: s.Weight})
		}
		d.Routes = append(d.Routes, converted)
	}
	for _, s := range f.Service {
		converted := routing.Service{
			Name: s.Name, HealthPath: s.HealthPath, MaxConnections: s.MaxConnections,
			WarmUpTime: time.Duration(s.ColdFor), ColdPerSecond: s.ColdPerSecond,
		}
		if e := s.Engine; e != nil {
			converted.Engine = &routing.Engine{Slots: e.Slots, MemoryTokens: e.MemoryTokens, TokensPerEvent: e.TokensPerEvent}
		}
		d.Services = append(d.Services, converted)
	}
	for _, a := range f.Account {
		d.Accounts = append(d.Accounts, routing.Account{Name: a.Name, Credentials: a.Credentials, Priority: a.Priority})
	}
	return d, d.Check()
}

// FillDerived sets the version and the digest, and encodes the document as the source if
// there is none. Operators' tools send routing documents in decoded form only.
func (r *Routing) FillDerived() error {
	if len(r.Source) == 0 {
		source, err := json.Marshal(r.Document)
		if err != nil {
			return fault.Wrap(err, fault.InvalidConfig, fault.NotRun, "encode the routing document")
		}
		r.Source = source
	}
	*r = *NewRouting(&r.Document, r.Source)
	return nil
}

// Redacted returns the configuration without the credentials of the accounts in the
// routing document, for status pages and answers to operators.
func (c *Config) Redacted() *Config {
	if c.Routing == nil {
		return c
	}
	redacted, r := *c, *c.Routing
	r.Source = nil
	accounts := make([]routing.Account, len(r.Document.Accounts))
	for i, a := range r.Document.Accounts {
		a.Credentials = nil
		accounts[i] = a
	}
	r.Document.Accounts = accounts
	redacted.Routing = &r
	return &redacted
}
