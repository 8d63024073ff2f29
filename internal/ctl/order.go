package ctl

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/fault"
)

func (a *app) orderCommand() *ffcli.Command {
	return a.group("order", "Send an order to an upstream", a.orderLoad(),
		a.orderOfKind("role", "change_role", "Change the role of an upstream", "UPSTREAM", "ROLE"),
		a.orderOfKind("drain", "drain", "Let an upstream finish its work and take no more", "UPSTREAM"))
}

func (a *app) orderLoad() *ffcli.Command {
	fs := a.flags("load")
	id := requestIDFlag(fs)
	what := fs.String("what", "model", "model, adapter or version")
	return &ffcli.Command{
		Name: "load", ShortUsage: "marigoldshuntctl order load UPSTREAM NAME [flags]",
		ShortHelp: "Load a model, adapter or version", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			names, err := exactArgs(fs, args, "UPSTREAM", "NAME")
			if err != nil {
				return err
			}
			switch *what {
			case "model", "adapter", "version":
			default:
				return usagef("-what: %q is not model, adapter or version", *what)
			}
			return a.order(ctx, *id, admin.Order{Upstream: names[0], Kind: "load_" + *what, Name: names[1]})
		},
	}
}

func (a *app) orderOfKind(name, kind, help string, want ...string) *ffcli.Command {
	fs := a.flags(name)
	id := requestIDFlag(fs)
	return &ffcli.Command{
		Name: name, ShortUsage: fmt.Sprintf("marigoldshuntctl order %s [flags] %v", name, want), ShortHelp: help, FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			names, err := exactArgs(fs, args, want...)
			if err != nil {
				return err
			}
			o := admin.Order{Upstream: names[0], Kind: kind}
			if len(names) > 1 {
				o.Name = names[1]
			}
			return a.order(ctx, *id, o)
		},
	}
}

// orderResult is the JSON output of an order.
type orderResult struct {
	RequestID string `json:"request_id"`
	admin.OrderResponse
}

func (a *app) order(ctx context.Context, id string, o admin.Order) error {
	c, err := a.clientFromFlags()
	if err != nil {
		return err
	}
	r := orderResult{RequestID: requestID(id)}
	err = c.post(ctx, "/v1/orders", admin.OrderRequest{RequestID: r.RequestID, Order: o}, &r.OrderResponse, retryAlways)
	if err != nil {
		return a.reportUnknownOutcome(err, r.RequestID, 0)
	}
	err = a.show(r, "REQUEST FENCE STATUS MESSAGE", [][]string{{r.RequestID, fmt.Sprint(r.Fence), r.Status, r.Message}})
	if err == nil && r.Status == "failed" {
		return fault.New(fault.OrderFailed, fault.RanAndFailed, "the upstream did not accept the order: %s", r.Message)
	}
	return err
}
