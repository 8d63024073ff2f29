package frontend

import (
	"encoding/json"
	"net"
	"slices"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/discovery"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// discover serves GET /v1/discover from the last known host list.
func (s *Server) discover(r *request) error {
	caller := r.ctx.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(caller); err == nil {
		caller = host
	}
	q := discovery.Query{Account: r.account, Caller: caller, DataCentre: s.opts.DataCentre}
	return r.writeJSON(discovery.Select(r.cfg, s.hosts(), q))
}

// hosts returns the list of hosts. If this host is leaving, hosts marks it so, because the
// list may not show it yet.
func (s *Server) hosts() []wire.HostStatus {
	list := s.opts.ControlView.Hosts()
	if !s.opts.ControlView.Leaving() {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		list[i].Leaving = list[i].Leaving || list[i].Host == s.opts.Host
	}
	return list
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// models serves GET /v1/models with the model pools of the contract.
func (s *Server) models(r *request) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	names := slices.Clone(r.contract.Pools)
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		if p, ok := r.cfg.Pools[n]; ok && p.Kind == config.KindModel {
			list.Data = append(list.Data, modelEntry{ID: n, Object: "model"})
		}
	}
	return r.writeJSON(list)
}

func (r *request) writeJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.NotRun, "encode answer")
	}
	r.ctx.SetStatusCode(fasthttp.StatusOK)
	r.ctx.SetContentType("application/json")
	r.ctx.SetBody(b)
	return nil
}

// health serves GET /healthz without a credential. It reports only whether the host accepts
// new callers.
func (s *Server) health(r *request) error {
	if s.opts.ControlView.Leaving() {
		return fault.New(fault.HostLeaving, fault.NotRun, "host is leaving")
	}
	return s.requireAvailable(func(r *request) error {
		r.ctx.SetContentType("text/plain")
		r.ctx.SetBodyString("ok\n")
		return nil
	})(r)
}
