// Package lister keeps the table of endpoints of one entry: what the rules
// name, what the platform's lagging list adds, and which of them are leaving.
package lister

import "net/netip"

// Market is the way in which the instance of an endpoint was bought.
type Market string

// The markets of the platform.
const (
	// Reclaimable instances are cheap and can be taken back on short notice.
	Reclaimable Market = "reclaimable"
	// OnDemand instances are kept until they are given back.
	OnDemand Market = "ondemand"
)

// Spec holds the facts that NewEndpoint makes an endpoint from.
type Spec struct {
	ID      string
	Service string
	Version string
	Domain  string
	Class   string
	Market  Market
	Price   float64 // per hour
	Address netip.AddrPort
}

// Endpoint is one engine or one instance of a plain service. It does not
// change; a new version or address is a new endpoint.
type Endpoint struct {
	spec Spec
}

// NewEndpoint returns the endpoint with the facts of spec.
func NewEndpoint(spec Spec) Endpoint { return Endpoint{spec: spec} }

// ID returns the identity, unique over all services.
func (e Endpoint) ID() string { return e.spec.ID }

// Service returns the service that the endpoint belongs to.
func (e Endpoint) Service() string { return e.spec.Service }

// Version returns the version that the endpoint serves.
func (e Endpoint) Version() string { return e.spec.Version }

// Domain returns the failure domain.
func (e Endpoint) Domain() string { return e.spec.Domain }

// Class returns the machine class.
func (e Endpoint) Class() string { return e.spec.Class }

// Market returns the market that the instance was bought on.
func (e Endpoint) Market() Market { return e.spec.Market }

// Price returns the price per hour.
func (e Endpoint) Price() float64 { return e.spec.Price }

// Address returns the IP address and port.
func (e Endpoint) Address() netip.AddrPort { return e.spec.Address }
