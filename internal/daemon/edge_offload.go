package daemon

import (
	"context"
	"net"
	"net/netip"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/gateway"
	"marigoldshunt/internal/netopt"
	"marigoldshunt/internal/wire"
)

// offloadOptions let the gateway pass requests on if the settings name a port for them.
func (e *edgeRole) offloadOptions() gateway.OffloadOptions {
	if e.settings.OffloadAddress == "" {
		return gateway.OffloadOptions{}
	}
	own := netip.MustParseAddrPort(e.settings.OffloadAddress)
	dialer := netopt.Dialer(0, net.TCPAddrFromAddrPort(netip.AddrPortFrom(own.Addr(), 0)))
	dial := func(ctx context.Context, host string) (net.Conn, error) {
		ip, err := netip.ParseAddr(host)
		if err != nil {
			return nil, fault.Wrap(err, fault.PeerUnreachable, fault.NotRun, "host %s has no address for requests that are passed on", host)
		}
		return dialer.DialContext(ctx, "tcp", netip.AddrPortFrom(ip, own.Port()).String())
	}
	return gateway.OffloadOptions{Dial: dial, MaxOpen: maxOffloads(e.d.settings)}
}

// offloadHosts returns the hosts to which this host may pass requests on: the others of its data
// centre that are alive and not leaving.
func (e *edgeRole) offloadHosts(hosts []wire.HostStatus) (out []string) {
	for _, h := range hosts {
		if h.Alive && !h.Leaving && h.DataCentre == e.d.settings.DataCentre && h.Host != e.d.settings.Host {
			out = append(out, h.Host)
		}
	}
	return out
}
