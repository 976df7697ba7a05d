// Package lister keeps the table of endpoints of an entry: those named in the rules, those in
// the provider's list, which lags behind, and which of them are leaving.
package lister

import "net/netip"

// Market is the market on which an instance was bought.
type Market string

// The markets of the provider.
const (
	// Reclaimable instances are cheap and can be reclaimed at short notice.
	Reclaimable Market = "reclaimable"
	// OnDemand instances are kept until they are released.
	OnDemand Market = "ondemand"
)

// Spec holds the properties of an endpoint.
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

// Endpoint is one engine or one instance of a plain service. It is immutable; a new version or
// address makes a new endpoint.
type Endpoint struct {
	spec Spec
}

// NewEndpoint returns an endpoint with the properties in spec.
func NewEndpoint(spec Spec) Endpoint { return Endpoint{spec: spec} }

// ID returns the endpoint's ID, unique over all services.
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
