package routing

import (
	"slices"
	"strings"
)

// Table is an immutable index of one document.
type Table struct {
	Document *Document
	byHost   map[string]map[string]*Route
	services map[string]*Service
	accounts map[string]*Account
	// priorities are the different priorities of routes and accounts in ascending order.
	priorities []int
}

// NewTable indexes a document, which must not change afterwards.
func NewTable(d *Document) *Table {
	t := &Table{Document: d, byHost: map[string]map[string]*Route{}, services: map[string]*Service{}, accounts: map[string]*Account{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*Route{}
		}
		t.byHost[host][r.PathPrefix] = r
		t.priorities = append(t.priorities, r.Priority)
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Accounts {
		for _, c := range d.Accounts[i].Credentials {
			t.accounts[c] = &d.Accounts[i]
		}
		if p := d.Accounts[i].Priority; p != nil {
			t.priorities = append(t.priorities, *p)
		}
	}
	slices.Sort(t.priorities)
	t.priorities = slices.Compact(t.priorities)
	return t
}

// Route returns the route of host with the longest prefix of path, or nil. host may include a
// port.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	prefixes := t.byHost[host]
	if prefixes == nil {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			prefixes = t.byHost[host[:i]]
		}
	}
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Account returns the account that owns a credential, or nil.
func (t *Table) Account(credential string) *Account {
	if credential == "" {
		return nil
	}
	return t.accounts[credential]
}

// PriorityLevel returns how many priorities of the document are higher than that of a request
// on r by account a, which may be nil.
func (t *Table) PriorityLevel(r *Route, a *Account) int {
	priority := r.Priority
	if a != nil && a.Priority != nil {
		priority = *a.Priority
	}
	level, _ := slices.BinarySearch(t.priorities, priority)
	return level
}

// NeedsCredential reports whether requests on r must carry a credential.
func (t *Table) NeedsCredential(r *Route) bool {
	return len(t.Document.Accounts) > 0 && !r.Public
}

// LeadsTo reports whether the route may lead to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// Pick selects a service by weight; fraction is uniform in [0, 1).
func (r *Route) Pick(fraction float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := int(fraction * float64(total))
	for _, s := range r.Split {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
