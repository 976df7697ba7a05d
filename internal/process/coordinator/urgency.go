package coordinator

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
