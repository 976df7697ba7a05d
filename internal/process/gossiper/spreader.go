package gossiper

import (
	"net/netip"
	"time"

	"hyssoprudder/internal/connection/messenger"
)

// maxHeaderSize is the maximum size of the header of a message.
const maxHeaderSize = 160 // bytes

// sendTo sends a message with the given items, and adds rumours that fit if the
// budget allows.
func (c *Core) sendTo(to netip.AddrPort, h header, items []item, now time.Time) {
	room := maxBody - maxHeaderSize
	for _, i := range items {
		room -= i.size()
	}
	if c.budget.allows(now) && room > 0 {
		items = append(items, c.takeRumours(room, 1)...)
	}
	c.enqueue(to, h, items)
}

func (c *Core) enqueue(to netip.AddrPort, h header, items []item) {
	h.Sum, h.Newest = c.sums.total, c.newest
	body := encodeMessage(h, items)
	c.budget.spend(len(body))
	c.out.messages = append(c.out.messages, Envelope{to: to, body: body})
}

func (c *Core) takeRumours(room, copies int) []item {
	items := c.rumours.take(room, copies, transmissions(len(c.members)))
	kept := items[:0]
	for _, i := range items {
		if i.kind != 0 {
			kept = append(kept, i)
		}
	}
	return kept
}

// sendRumours sends rumours to a few random members. It sends one message, or
// several to different members while there are urgent rumours that were sent
// only a few times.
func (c *Core) sendRumours(now time.Time) {
	if now.Before(c.nextGossip) || c.rumours.len() == 0 {
		return
	}
	c.nextGossip = now.Add(c.timing.GossipInterval)
	receivers := c.pick(fanout*maxMessagesPerRound, "")
	copies := min(fanout, len(receivers))
	if copies == 0 {
		return
	}
	for i := range maxMessagesPerRound {
		if !c.budget.allows(now) || i > 0 && !c.rumours.hasUrgent() {
			return
		}
		items := c.takeRumours(maxBody-maxHeaderSize, copies)
		for j := range copies {
			id := receivers[(i*copies+j)%len(receivers)]
			c.enqueue(c.members[id].record.Address, header{Kind: kindGossip}, items)
		}
	}
}

// sendDigests sends changed digests to members of the cell. In a cell with more
// members than receivers, successive rounds go to different members, so that
// the traffic per round stays the same.
func (c *Core) sendDigests(now time.Time) {
	if now.Before(c.nextDigest) || len(c.digests.due) == 0 || !c.budget.allows(now) {
		return
	}
	c.nextDigest = now.Add(c.timing.DigestInterval)
	cell := c.cellPeers()
	if len(cell) == 0 {
		return
	}
	receivers := make([]string, 0, digestFanout)
	for range min(digestFanout, len(cell)) {
		c.prober.digestCursor++
		receivers = append(receivers, cell[c.prober.digestCursor%len(cell)])
	}
	for _, items := range pack(c.digests.takeDue(len(receivers))) {
		for _, id := range receivers {
			c.enqueue(c.members[id].record.Address, header{Kind: kindGossip}, items)
		}
	}
}

func (c *Core) cellPeers() []string {
	return c.peers(func(r memberRecord) bool {
		return r.Cell == c.settings.Cell && r.isLive()
	})
}

// pack distributes items in order over as few messages as possible.
func pack(items []item) [][]item {
	var out [][]item
	room := 0
	for _, i := range items {
		if size := i.size(); len(out) == 0 || size > room {
			out = append(out, nil)
			room = maxBody - maxHeaderSize
		}
		out[len(out)-1] = append(out[len(out)-1], i)
		room -= i.size()
	}
	return out
}

// compare starts a comparison of views with a peer whose view has a different
// sum.
func (c *Core) compare(peer netip.AddrPort, sum uint64, now time.Time) {
	interval := c.timing.MinSyncInterval
	if len(c.members) <= 2 {
		interval = c.timing.GossipInterval
	}
	c.viewDiffers = sum != c.sums.total
	if !c.viewDiffers || now.Sub(c.lastSync) < interval || !c.budget.allows(now) {
		return
	}
	c.lastSync = now
	c.enqueue(peer, header{Kind: kindSync}, []item{{kind: itemSums, body: c.sums.encode()}})
}

// answerSync sends the records of the buckets that differ from the sender's
// view. Unless h is a reply itself, it also sends this node's sums, so that the
// sender does the same.
func (c *Core) answerSync(from messenger.Sender, h header, encoded []byte, now time.Time) error {
	differing, err := c.sums.differing(encoded)
	if err != nil || len(differing) == 0 {
		return err
	}
	if !c.budget.allows(now) {
		return nil
	}
	if !h.Reply {
		c.enqueue(from.Address(), header{Kind: kindSync, Reply: true}, []item{{kind: itemSums, body: c.sums.encode()}})
	}
	messages := pack(c.itemsIn(differing))
	c.random.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	// When many nodes request at once, each gets a few messages. The members
	// that it receives let it request the rest from other nodes.
	limit := 1 + maxSyncMessages*int(c.budget.tokens)/c.timing.Burst
	for _, items := range messages[:min(limit, len(messages))] {
		c.enqueue(from.Address(), header{Kind: kindGossip}, items)
	}
	return nil
}

// itemsIn returns the records of the given buckets.
func (c *Core) itemsIn(wanted map[int]bool) []item {
	var items []item
	for _, id := range c.ids() {
		if wanted[bucketOf(id)] {
			items = append(items, item{kind: itemMember, body: encodeRecord(c.members[id].record)})
		}
	}
	for endpoint, m := range c.marks {
		if wanted[bucketOf(endpoint)] {
			items = append(items, item{kind: itemMark, body: encodeRecord(m)})
		}
	}
	return items
}
