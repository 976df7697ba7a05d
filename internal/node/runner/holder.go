package runner

import (
	"net/netip"
	"sync/atomic"

	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/parser"
)

// rulesInForce holds the rules by which a node serves, and their revision.
type rulesInForce struct {
	revision uint64
	rules    *parser.Rules
}

// holder holds the rules in force. It is safe for concurrent use.
type holder struct {
	current atomic.Pointer[rulesInForce]
}

func (h *holder) set(revision uint64, rules *parser.Rules) {
	h.current.Store(&rulesInForce{revision: revision, rules: rules})
}

// rules returns the rules in force, or nil if there are none yet.
func (h *holder) rules() *parser.Rules {
	if current := h.current.Load(); current != nil {
		return current.rules
	}
	return nil
}

// revision returns the revision in force; 0 means none.
func (h *holder) revision() uint64 {
	if current := h.current.Load(); current != nil {
		return current.revision
	}
	return 0
}

// endpointsFromRules returns the endpoints that the rules list.
func endpointsFromRules(rules *parser.Rules) []lister.Endpoint {
	endpoints := make([]lister.Endpoint, 0, len(rules.Endpoints()))
	for _, e := range rules.Endpoints() {
		address, err := netip.ParseAddrPort(e.Address())
		if err != nil {
			panic("parser accepted an invalid endpoint address: " + err.Error())
		}
		endpoints = append(endpoints, lister.NewEndpoint(lister.Spec{
			ID: e.Name(), Service: e.Service(), Version: e.Version(), Domain: e.Domain(),
			Class: "own", Market: lister.OnDemand, Address: address,
		}))
	}
	return endpoints
}
