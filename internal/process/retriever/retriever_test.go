package retriever_test

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/retriever"
)

// waitTimeout bounds every wait for a condition and is reached only on a fault.
const waitTimeout = 60 * time.Second

// keepers simulates keepers behind a link. A page that the link can't carry within the timeout of its request
// does not arrive.
type keepers struct {
	mu           sync.Mutex
	bodies       map[netip.AddrPort]ruleset // what each keeper has applied
	linkBytes    int                        // that the link carries within one timeout
	unresponsive map[netip.AddrPort]bool
	carried      int // bytes of pages, whether they arrived or not
	asked        map[netip.AddrPort]int
}

type ruleset struct {
	number uint64
	body   []byte
}

var addresses = []netip.AddrPort{
	netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"),
}

func newKeepers(r ruleset, linkBytes int) *keepers {
	k := &keepers{bodies: make(map[netip.AddrPort]ruleset), linkBytes: linkBytes, unresponsive: make(map[netip.AddrPort]bool), asked: make(map[netip.AddrPort]int)}
	for _, a := range addresses {
		k.bodies[a] = r
	}
	return k
}

func (k *keepers) call(_ context.Context, to netip.AddrPort, _ string, args, reply any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked[to]++
	if k.unresponsive[to] {
		return context.DeadlineExceeded
	}
	request := args.(*coordinator.RulesetRequest)
	page := k.page(k.bodies[to], request)
	k.carried += min(len(page.Data), k.linkBytes)
	if len(page.Data) > k.linkBytes {
		return context.DeadlineExceeded
	}
	*reply.(*coordinator.RulesetPage) = page
	return nil
}

func (k *keepers) page(r ruleset, request *coordinator.RulesetRequest) coordinator.RulesetPage {
	page := coordinator.RulesetPage{Number: r.number, Size: len(r.body)}
	if r.number < request.Number {
		return page
	}
	if r.number == request.Number {
		page.Offset = request.Offset
	}
	page.Data = r.body[page.Offset:min(page.Offset+request.MaxBytes, len(r.body))]
	return page
}

func (k *keepers) set(change func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change()
}

// start returns a retriever and what it applies.
func (k *keepers) start(node string) (*retriever.Retriever, chan ruleset) {
	applied := make(chan ruleset, 100)
	r := retriever.New(retriever.Config{
		Node: node, Clock: clock.System{}, Log: log.New(io.Discard), Call: k.call,
		Apply: func(number uint64, body []byte) { applied <- ruleset{number, body} },
	})
	r.Start()
	return r, applied
}

func await(t require.TestingT, applied chan ruleset) ruleset {
	select {
	case r := <-applied:
		return r
	case <-time.After(waitTimeout):
		require.FailNow(t, "no ruleset was applied")
		return ruleset{}
	}
}

func body(size int) []byte {
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(i * 7)
	}
	return out
}

// Rules with thousands of routes were not in force in time: a link that could not carry all of them within one
// timeout never did.
func TestRulesetArrivesOverASlowLink(t *testing.T) {
	want := ruleset{7, body(3 << 20)}
	k := newKeepers(want, 10<<10)
	r, applied := k.start("a")
	defer r.Stop()
	r.Retrieve(7, addresses, netip.AddrPort{})
	got := await(t, applied)
	require.Equal(t, want.number, got.number)
	require.True(t, bytes.Equal(want.body, got.body))
	require.Less(t, k.carried, 2*len(want.body), "what was received is not requested again")
}

// Keepers that do not answer, and those that have not applied the ruleset yet, are passed over.
func TestRulesetIsRetrievedFromAnyKeeper(t *testing.T) {
	want := ruleset{7, body(200 << 10)}
	cases := map[string]func(k *keepers, a netip.AddrPort){
		"unresponsive": func(k *keepers, a netip.AddrPort) { k.unresponsive[a] = true },
		"behind":       func(k *keepers, a netip.AddrPort) { k.bodies[a] = ruleset{3, body(10)} },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			k := newKeepers(want, 1<<20)
			for _, a := range addresses[:2] {
				fail(k, a)
			}
			r, applied := k.start("a")
			defer r.Stop()
			r.Retrieve(7, addresses, netip.AddrPort{})
			require.Equal(t, want, await(t, applied))
		})
	}
}

// A node without rules asks the leader next if the first keeper has not applied them yet.
func TestFirstRulesetComesFromTheLeader(t *testing.T) {
	want := ruleset{7, body(10)}
	k := newKeepers(ruleset{3, body(10)}, 1<<20)
	leader := netip.MustParseAddrPort("10.0.0.9:1")
	k.bodies[leader] = want
	r, applied := k.start("a")
	defer r.Stop()
	r.Retrieve(7, addresses, leader)
	require.Equal(t, want, await(t, applied))
	require.Equal(t, 1, k.asked[leader])
}

// Nodes begin with different keepers, so that the leader does not send a ruleset to the whole fleet.
func TestNodesRetrieveFromDifferentKeepers(t *testing.T) {
	k := newKeepers(ruleset{7, body(10)}, 1<<20)
	for _, node := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		r, applied := k.start(node)
		r.Retrieve(7, addresses, netip.AddrPort{})
		await(t, applied)
		r.Stop()
	}
	require.Len(t, k.asked, len(addresses))
}

// Whatever keepers hold and however often a newer ruleset replaces the one that is being retrieved, what is applied
// is whole, is one of the rulesets, and never older than what was applied before; the newest is applied in the end.
func TestAppliedRulesetsAreWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 300<<10), 1, 6).Draw(t, "sizes")
		rulesets := make(map[uint64][]byte)
		k := newKeepers(ruleset{}, rapid.IntRange(4<<10, 100<<10).Draw(t, "link"))
		r, applied := k.start(rapid.StringN(1, 4, 8).Draw(t, "node"))
		defer r.Stop()
		for i, size := range sizes {
			number := uint64(i + 1)
			rulesets[number] = body(size)
			k.set(func() {
				for _, a := range addresses[rapid.IntRange(0, len(addresses)-1).Draw(t, "behind"):] {
					k.bodies[a] = ruleset{number, rulesets[number]}
				}
			})
			r.Retrieve(number, addresses, netip.AddrPort{})
		}
		for last := uint64(0); last < uint64(len(sizes)); {
			got := await(t, applied)
			require.Greater(t, got.number, last)
			require.True(t, bytes.Equal(rulesets[got.number], got.body))
			last = got.number
		}
	})
}
