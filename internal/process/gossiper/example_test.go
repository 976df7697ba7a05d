package gossiper_test

import (
	"fmt"
	"net/netip"
	"time"

	"hyssoprudder/internal/process/gossiper"
)

func ExampleCore() {
	now := time.Unix(1_700_000_000, 0)
	core := gossiper.NewCore(gossiper.Settings{
		ID: "focsani-1", Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:7101"), Roles: gossiper.Entry,
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7102")},
	}, now)
	for _, message := range core.Tick(now).Messages() {
		fmt.Println("join through", message.To())
	}
	core.MarkLeaving("engine-7", 2, now)
	fmt.Println(core.IsLeaving("engine-7", 2), core.IsLeaving("engine-7", 3))
	// Output:
	// join through 127.0.0.1:7102
	// true false
}
