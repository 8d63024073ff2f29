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

// OrderDataCentre implements edge.HostAPI.
func (e *edgeRole) OrderDataCentre(ctx context.Context, o edge.DataCentreOrder) (edge.DataCentreOrderResult, error) {
	fields := logrus.Fields{"data_centre": o.Name, "out": o.Out}
	if o.IfRevision == nil {
		return e.confirmDataCentre(ctx, o, fields)
	}
	fields["if_revision"] = *o.IfRevision
	change := config.Change{DataCentre: &config.DataCentre{Name: o.Name, Out: o.Out}, IfRevision: *o.IfRevision}
	revision, err := e.d.controlClient.Change(ctx, uuid.NewString(), edgeOperator, []config.Change{change})
	if f := fault.As(err); f != nil && f.Code == fault.RevisionConflict {
		e.logUnconfirmedOrder(f.Revision, fields)
		return edge.DataCentreOrderResult{Revision: f.Revision}, nil
	}
	e.logChange("data centre", err, fields)
	return edge.DataCentreOrderResult{InForce: err == nil, Revision: revision}, err
}

// confirmDataCentre returns the revision of a data centre that was current after the order arrived.
func (e *edgeRole) confirmDataCentre(ctx context.Context, o edge.DataCentreOrder, fields logrus.Fields) (edge.DataCentreOrderResult, error) {
	c, err := e.d.controlClient.ConfirmConfig(ctx)
	if err != nil {
		e.logChange("data centre", err, fields)
		return edge.DataCentreOrderResult{}, err
	}
	current := c.DataCentres[o.Name]
	if current.Out == o.Out {
		e.logChange("data centre", nil, fields)
		return edge.DataCentreOrderResult{InForce: true, Revision: current.Revision}, nil
	}
	e.logUnconfirmedOrder(current.Revision, fields)
	return edge.DataCentreOrderResult{Revision: current.Revision}, nil
}

// logUnconfirmedOrder logs that an order is carried out only if its sender repeats it.
func (e *edgeRole) logUnconfirmedOrder(revision uint64, fields logrus.Fields) {
	e.log.WithFields(fields).WithField("revision", revision).Info("Order needs to be repeated with the current revision.")
}

func (e *edgeRole) logChange(what string, err error, fields logrus.Fields) {
	l := e.log.WithFields(fields).WithField("object", what)
	if err != nil {
		l.WithError(err).Warn("Change was not acknowledged.")
		return
	}
	l.Info("Change was acknowledged.")
}
