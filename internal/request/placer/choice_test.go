package placer_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/placer"
)

// lister replaces the list of endpoints again and again.
type lister struct {
	placer *placer.Placer
	done   sync.WaitGroup
}

func (l *lister) run() {
	defer l.done.Done()
	list := newEndpoints(1, 64)
	for range 1000 {
		list[0].Leaving = !list[0].Leaving
		l.placer.SetEndpoints(list)
	}
}

// The endpoint of a choice was read while a new list changed it, so that a call could be
// encoded for a half-changed endpoint. The race detector reports that.
func TestChoiceKeepsItsEndpoint(t *testing.T) {
	p := placer.New()
	p.SetEndpoints(newEndpoints(1, 64))
	c, _, _ := p.Place(newRequest(start, 1))
	l := &lister{placer: p}
	l.done.Add(1)
	go l.run()
	for range 1000 {
		require.False(t, c.Endpoint().Leaving, "as it was listed when it was chosen")
	}
	l.done.Wait()
}
