package coordinator

// LoadFields is the number of fields of a load that this release reads. It is stated in
// reports and directives, since a former release accepts exactly five.
const LoadFields = maxLoadFields

// TrimLoads removes the fields that a node can't read which has stated to read a number of
// them. The loads must not be in use elsewhere.
func TrimLoads(loads []Load, fields int) []Load {
	if fields >= LoadFields {
		return loads
	}
	for i := range loads {
		l := &loads[i]
		*l = Load{Position: l.Position, InFlight: l.InFlight, Waiting: l.Waiting, PendingPrefill: l.PendingPrefill, KVTokens: l.KVTokens}
	}
	return loads
}

// AssumeUrgent sets the parts by priority of loads that a node has sent which does not state
// them. Their pending prefill counts as the most urgent, so that no call expects to overtake it.
func AssumeUrgent(loads []Load, fields int) {
	if fields >= LoadFields {
		return
	}
	for i := range loads {
		loads[i].PendingFirst, loads[i].PendingSecond = loads[i].PendingPrefill, 0
	}
}
