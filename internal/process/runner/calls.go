package runner

import (
	"context"
	"slices"
	"sync/atomic"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/request/handler"
)

// newHandler returns the path of a call from the entry to an endpoint.
func (r *Runner) newHandler() *handler.Handler {
	var turn atomic.Uint64
	return handler.New(handler.Config{
		Clock: r.clock,
		Pick: func(call *handler.Call, excluded []string) (lister.Endpoint, bool) {
			return pickNext(r.table.Service(call.Service().Name()), excluded, turn.Add(1))
		},
		Do: func(ctx context.Context, to lister.Endpoint, req dialer.Request) (dialer.Answer, error) {
			return r.dialer.Do(ctx, to.Address(), req)
		},
		Generate: func(ctx context.Context, to lister.Endpoint, g dialer.Generation) (*dialer.Stream, error) {
			return r.dialer.Generate(ctx, to.Address(), g)
		},
	})
}

// pickNext takes the endpoints in turn, passing over the excluded ones.
func pickNext(endpoints []lister.Endpoint, excluded []string, turn uint64) (lister.Endpoint, bool) {
	for i := range endpoints {
		e := endpoints[(turn+uint64(i))%uint64(len(endpoints))]
		if !slices.Contains(excluded, e.ID()) {
			return e, true
		}
	}
	return lister.Endpoint{}, false
}
