package routing

import (
	"strings"

	"marigoldshunt/internal/fault"
)

// Limits on the size of a document, so that one request of an operator can't exhaust memory.
const (
	maxRoutes   = 20_000
	maxServices = 1_000
	maxAccounts = 50_000
)

func invalid(format string, args ...any) error {
	return fault.New(fault.InvalidConfig, fault.NotRun, format, args...)
}

// Check returns an InvalidConfig error with the reason if the document can't be applied.
func (d *Document) Check() error {
	if len(d.Routes) > maxRoutes || len(d.Services) > maxServices || len(d.Accounts) > maxAccounts {
		return invalid("the document has more than %d routes, %d services or %d accounts", maxRoutes, maxServices, maxAccounts)
	}
	if err := d.Limits.check(); err != nil {
		return err
	}
	services := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service %q has no name or occurs twice", s.Name)
		}
		services[s.Name] = true
	}
	if err := d.checkRoutes(services); err != nil {
		return err
	}
	return d.checkAccounts()
}

func (l *Limits) check() error {
	for _, x := range []struct {
		name  string
		value int64
	}{
		{"header_bytes", int64(l.HeaderBytes)}, {"body_bytes", int64(l.BodyBytes)},
		{"header_timeout", int64(l.HeaderTimeout)}, {"idle_timeout", int64(l.IdleTimeout)},
	} {
		if x.value < 0 {
			return invalid("limits: %s is negative", x.name)
		}
	}
	return nil
}

func (d *Document) checkRoutes(services map[string]bool) error {
	type hostPrefix struct{ host, prefix string }
	seen := map[hostPrefix]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		key := hostPrefix{strings.ToLower(r.Host), r.PathPrefix}
		if seen[key] {
			return invalid("route %q: another route has host %q and prefix %q", r.Name, r.Host, r.PathPrefix)
		}
		seen[key] = true
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	if r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Stream {
		return invalid("route %q: kind %q is not known", r.Name, r.Kind)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return invalid("route %q: prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	if r.EventGap < 0 {
		return invalid("route %q: event_gap %s is negative", r.Name, r.EventGap)
	}
	if r.Timeout <= 0 {
		return invalid("route %q: the timeout %s is not above 0", r.Name, r.Timeout)
	}
	total := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			return invalid("route %q: service %q does not exist", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %q: weight %d of service %q is negative", r.Name, s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return invalid("route %q: the weights add up to %d", r.Name, total)
	}
	return nil
}

func (d *Document) checkAccounts() error {
	names, owners := map[string]bool{}, map[string]string{}
	for _, a := range d.Accounts {
		if a.Name == "" || names[a.Name] {
			return invalid("account %q has no name or occurs twice", a.Name)
		}
		names[a.Name] = true
		for _, c := range a.Credentials {
			if other, taken := owners[c]; taken && other != a.Name {
				return invalid("accounts %q and %q share a credential", other, a.Name)
			}
			owners[c] = a.Name
		}
	}
	return nil
}
