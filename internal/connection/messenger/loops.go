package messenger

import "hyssoprudder/internal/process/clock"

// deliverer passes accepted datagrams to their handler, one at a time.
type deliverer struct {
	messenger *Messenger
}

func (d deliverer) run() {
	m := d.messenger
	defer m.group.Done()
	for {
		select {
		case d := <-m.datagrams:
			if m.onDatagram != nil {
				m.onDatagram(d.from, d.body)
			}
		case <-m.done:
			return
		}
	}
}

// maintainer closes connections that are idle, and accepted connections whose
// peer has not authenticated in time.
type maintainer struct {
	messenger *Messenger
}

func (t maintainer) run() {
	m := t.messenger
	defer m.group.Done()
	for clock.Sleep(m.clock, maintenanceInterval, m.done) {
		now := m.clock.Now()
		m.links.closeIdle(now.Add(-idleTimeout))
		for _, s := range m.streams.overdue(now.Add(-handshakeTimeout)) {
			m.drop(dropExpired, Sender{})
			s.close()
		}
	}
}
