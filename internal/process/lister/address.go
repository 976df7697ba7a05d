package lister

import "net/netip"

// IsReachable reports whether a process can listen at the address.
func IsReachable(address netip.AddrPort) bool {
	ip := address.Addr()
	return address.Port() != 0 && ip.IsValid() && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() &&
		ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}
