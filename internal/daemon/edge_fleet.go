package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/discovery"
	"marigoldshunt/internal/edge"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/gateway"
	"marigoldshunt/internal/routing"
)

// Ready implements edge.HostAPI.
func (e *edgeRole) Ready() bool {
	v := e.view()
	return v.Check(e.maxAges()) == nil && !v.Leaving
}

func (e *edgeRole) maxAges() gateway.MaxAges {
	return gateway.MaxAges{Config: e.settings.ConfigMaxAge, List: e.settings.ListMaxAge}
}

// discoveryTTL returns how long callers may keep an answer of discovery.
func (e *edgeRole) discoveryTTL() time.Duration {
	if kept := e.settings.Bounds.DiscoveryKept; kept > 0 {
		return min(discoveryTTL, kept)
	}
	return discoveryTTL
}

// GatewayAddresses implements edge.HostAPI. It returns the hosts of the caller's data centre
// that are alive and not leaving or, if there are none, all such hosts, but no more than an answer
// may name.
func (e *edgeRole) GatewayAddresses(dataCentre string) (edge.ConnectAnswer, error) {
	port := netip.MustParseAddrPort(e.settings.GatewayAddress).Port()
	var local, all []string
	for _, h := range e.d.controlClient.Hosts() {
		ip, err := netip.ParseAddr(h.Host)
		if err != nil || !h.Alive || h.Leaving {
			continue
		}
		address := netip.AddrPortFrom(ip, port).String()
		all = append(all, address)
		if h.DataCentre == dataCentre {
			local = append(local, address)
		}
	}
	if len(local) == 0 {
		local = all
	}
	if len(local) == 0 {
		return edge.ConnectAnswer{}, fault.New(fault.HostIsolated, fault.NotRun, "no host is known yet").WithRetryAfter(tickInterval)
	}
	return edge.ConnectAnswer{Addresses: discovery.Bound(e.d.settings.Host, local), KeepFor: e.discoveryTTL()}, nil
}

// PutDocument implements edge.HostAPI.
func (e *edgeRole) PutDocument(ctx context.Context, doc *routing.Document, source []byte) error {
	if err := doc.Check(); err != nil {
		return err
	}
	_, err := e.d.controlClient.Change(ctx, uuid.NewString(), edgeOperator, []config.Change{{Routing: config.NewRouting(doc, source)}})
	e.logChange("routing document", err, logrus.Fields{"version": doc.Version})
	return err
}

// DocumentSource implements edge.HostAPI.
func (e *edgeRole) DocumentSource(ctx context.Context) ([]byte, error) {
	c, err := e.d.controlClient.ConfirmConfig(ctx)
	if err != nil {
		return nil, err
	}
	if c.Routing == nil {
		return nil, fault.New(fault.NotFound, fault.NotRun, "there is no routing document yet")
	}
	return c.Routing.Source, nil
}

// SetDataCentreOut implements edge.HostAPI. On a revision conflict it tries again with the
// revision that the error names, since the last change by an operator wins.
func (e *edgeRole) SetDataCentreOut(ctx context.Context, name string, out bool) error {
	revision := e.d.controlClient.Config().DataCentres[name].Revision
	for {
		change := config.Change{DataCentre: &config.DataCentre{Name: name, Out: out}, IfRevision: revision}
		_, err := e.d.controlClient.Change(ctx, uuid.NewString(), edgeOperator, []config.Change{change})
		if f := fault.As(err); f != nil && f.Code == fault.RevisionConflict && ctx.Err() == nil {
			revision = f.Revision
			continue
		}
		e.logChange("data centre", err, logrus.Fields{"data_centre": name, "out": out})
		return err
	}
}

func (e *edgeRole) logChange(what string, err error, fields logrus.Fields) {
	l := e.log.WithFields(fields).WithField("object", what)
	if err != nil {
		l.WithError(err).Warn("Change was not acknowledged.")
		return
	}
	l.Info("Change was acknowledged.")
}
