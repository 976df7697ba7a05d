package platform

import (
	"net/http"
	"slices"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/hoster"
)

// Reclaim asks the platform to take instances back. Empty fields match any;
// times are not scaled.
type Reclaim struct {
	Domain  string   `json:"domain"`
	Class   string   `json:"class"`
	Service string   `json:"service"`
	IDs     []string `json:"ids"`
	Count   int      `json:"count"`     // at most so many; 0: all
	Notice  int64    `json:"notice_ms"` // from the notice to the end
	Gap     int64    `json:"gap_ms"`    // between one instance and the next
	Late    int64    `json:"late_ms"`   // by which the notice comes late
	Twice   bool     `json:"twice"`     // the notice comes twice
	Silent  bool     `json:"silent"`    // there is no notice
	All     bool     `json:"all"`       // on-demand instances too
}

// reclaiming takes one instance back.
type reclaiming struct {
	platform *Platform
	id       string
	order    Reclaim
	wait     time.Duration // before the notice
	twice    bool
}

func (r *reclaiming) run() {
	p := r.platform
	defer p.ended.Done()
	if !clock.Sleep(p.clock, r.wait, p.host.Dead()) {
		return
	}
	until := p.clock.Now().Add(time.Duration(r.order.Notice) * time.Millisecond)
	late := time.Duration(r.order.Late) * time.Millisecond
	late = max(late, p.settings.scaled(p.settings.Late))
	if !r.order.Silent {
		p.mark(r.id, until)
		if !clock.Sleep(p.clock, min(late, until.Sub(p.clock.Now())), p.host.Dead()) {
			return
		}
		p.announce(r.id, until)
	}
	if !clock.Sleep(p.clock, until.Sub(p.clock.Now())/2, p.host.Dead()) {
		return
	}
	if r.twice && !r.order.Silent {
		p.announce(r.id, until)
	}
	if clock.Sleep(p.clock, until.Sub(p.clock.Now()), p.host.Dead()) {
		p.end(r.id)
	}
}

// mark lists an instance as leaving.
func (p *Platform) mark(id string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.units[id]; ok {
		u.instance.State = stateLeaving
		u.instance.Until = &until
	}
}

func (p *Platform) announce(id string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices = append(p.notices, Notice{Seq: uint64(len(p.notices) + 1), ID: id, Until: until})
}

// Take takes instances back as the order says, and returns their identities.
func (p *Platform) Take(order Reclaim) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := []string{}
	for _, id := range p.order {
		i := p.units[id].instance
		if i.State == stateLive && order.matches(i) && (order.Count == 0 || len(taken) < order.Count) {
			taken = append(taken, id)
		}
	}
	for n, id := range taken {
		p.ended.Add(1)
		go (&reclaiming{
			platform: p, id: id, order: order,
			wait:  time.Duration(n) * time.Duration(order.Gap) * time.Millisecond,
			twice: order.Twice || p.random.Float64() < p.settings.Twice,
		}).run()
	}
	return taken
}

func (o Reclaim) matches(i Instance) bool {
	return (o.Domain == "" || o.Domain == i.Domain) &&
		(o.Class == "" || o.Class == i.Class) &&
		(o.Service == "" || o.Service == i.Service) &&
		(len(o.IDs) == 0 || slices.Contains(o.IDs, i.ID)) &&
		(o.All || i.Market == "reclaimable")
}

func (p *Platform) reclaim(w http.ResponseWriter, r *http.Request) {
	var order Reclaim
	if !hoster.Decode(w, r, &order) {
		return
	}
	hoster.Reply(w, http.StatusAccepted, struct {
		IDs []string `json:"ids"`
	}{p.Take(order)})
}
