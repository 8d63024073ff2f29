package daemon

import (
	"context"
	"net/netip"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/edge"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

// Ready implements edge.Fleet.
func (e *edgeRole) Ready() bool {
	v := e.view()
	return v.Check(e.s.ConfigMaxAge) == nil && !v.Leaving
}

// Resolve implements edge.Fleet. Callers are sent to the hosts of their own data centre
// while there are any.
func (e *edgeRole) Resolve(dataCentre string) (edge.Directory, error) {
	port := netip.MustParseAddrPort(e.s.GatewayAddress).Port()
	var near, all []string
	for _, h := range e.d.client.Hosts() {
		ip, err := netip.ParseAddr(h.Host)
		if err != nil || !h.Alive || h.Leaving {
			continue
		}
		address := netip.AddrPortFrom(ip, port).String()
		all = append(all, address)
		if h.DataCentre == dataCentre {
			near = append(near, address)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return edge.Directory{}, fault.New(fault.HostIsolated, fault.NotRun, "no host is known yet").After(tickInterval)
	}
	return edge.Directory{Addresses: near, KeepFor: keepDirectory}, nil
}

// PutDocument implements edge.Fleet.
func (e *edgeRole) PutDocument(ctx context.Context, doc *routing.Document, source []byte) error {
	if err := doc.Check(); err != nil {
		return err
	}
	_, err := e.d.client.Change(ctx, uuid.NewString(), edgeOperator, []config.Change{{Routing: config.NewRouting(doc, source)}})
	e.logOrder("routing document", err, logrus.Fields{"version": doc.Version})
	return err
}

// Document implements edge.Fleet.
func (e *edgeRole) Document(ctx context.Context) ([]byte, error) {
	c, err := e.d.client.Confirm(ctx)
	if err != nil {
		return nil, err
	}
	if c.Routing == nil {
		return nil, fault.New(fault.NotFound, fault.NotRun, "there is no routing document yet")
	}
	return c.Routing.Source, nil
}

// SetOut implements edge.Fleet. The revision of the data centre is taken from the refusal
// when another order came first, since the last order of an operator counts.
func (e *edgeRole) SetOut(ctx context.Context, name string, out bool) error {
	revision := e.d.client.Config().DataCentres[name].Revision
	for {
		change := config.Change{DataCentre: &config.DataCentre{Name: name, Out: out}, IfRevision: revision}
		_, err := e.d.client.Change(ctx, uuid.NewString(), edgeOperator, []config.Change{change})
		if f := fault.As(err); f != nil && f.Code == fault.RevisionConflict && ctx.Err() == nil {
			revision = f.Revision
			continue
		}
		e.logOrder("data centre", err, logrus.Fields{"data_centre": name, "out": out})
		return err
	}
}

func (e *edgeRole) logOrder(what string, err error, fields logrus.Fields) {
	l := e.log.WithFields(fields).WithField("object", what)
	if err != nil {
		l.WithError(err).Warn("Order not acknowledged.")
		return
	}
	l.Info("Order acknowledged.")
}
