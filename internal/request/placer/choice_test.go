package placer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/placer"
)

// lister replaces the endpoint list, in which endpoints turn leaving and back.
type lister struct {
	placer *placer.Placer
	done   chan struct{}
}

func (l *lister) run() {
	defer close(l.done)
	for i := range 200 {
		list := newEndpoints(3, 64)
		for position := range list {
			list[position].Leaving = i%2 == 0
		}
		l.placer.SetEndpoints(list)
	}
}

// A call read the endpoint that was chosen for it while a new list overwrote the endpoint.
func TestChosenEndpointIsReadWhileTheListChanges(t *testing.T) {
	p := placer.New()
	p.SetEndpoints(newEndpoints(3, 64))
	c, refusal, _ := p.Place(newRequest(start, 1))
	require.Equal(t, placer.RefusedNone, refusal)
	chosen := c.Endpoint()
	l := &lister{placer: p, done: make(chan struct{})}
	go l.run()
	for range 200 {
		require.Equal(t, chosen, c.Endpoint())
	}
	<-l.done
	p.End(c, placer.Answered, start)
}
