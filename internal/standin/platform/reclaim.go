package platform

import (
	"net/http"
	"slices"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/hoster"
)

// ReclaimRequest is a request to reclaim instances, as POST /reclaim accepts it.
// Empty fields match all instances. Scale is not applied to its durations.
type ReclaimRequest struct {
	Domain            string   `json:"domain"`
	Class             string   `json:"class"`
	Service           string   `json:"service"`
	IDs               []string `json:"ids"`
	Count             int      `json:"count"`     // maximum number of instances; 0 means all
	NoticeMillis      int64    `json:"notice_ms"` // time from the start of the reclaim to the termination
	IntervalMillis    int64    `json:"gap_ms"`    // time between the starts of two reclaims
	NoticeDelayMillis int64    `json:"late_ms"`   // delay of the notice after the start of the reclaim
	RepeatNotice      bool     `json:"twice"`     // the notice is sent twice
	WithoutNotice     bool     `json:"silent"`    // no notice is sent and the instance is not marked as leaving
	IncludeOnDemand   bool     `json:"all"`       // includes on-demand instances
}

// reclamation reclaims one instance.
type reclamation struct {
	platform     *Platform
	id           string
	request      ReclaimRequest
	delay        time.Duration // time until the reclaim of this instance starts
	repeatNotice bool
}

func (r *reclamation) run() {
	p := r.platform
	defer p.ended.Done()
	if !clock.Sleep(p.clock, r.delay, p.host.Done()) {
		return
	}
	terminatesAt := p.clock.Now().Add(time.Duration(r.request.NoticeMillis) * time.Millisecond)
	noticeDelay := time.Duration(r.request.NoticeDelayMillis) * time.Millisecond
	noticeDelay = max(noticeDelay, p.settings.scaled(p.settings.NoticeDelay))
	if !r.request.WithoutNotice {
		p.markLeaving(r.id, terminatesAt)
		if !clock.Sleep(p.clock, min(noticeDelay, terminatesAt.Sub(p.clock.Now())), p.host.Done()) {
			return
		}
		p.addNotice(r.id, terminatesAt)
	}
	if !clock.Sleep(p.clock, terminatesAt.Sub(p.clock.Now())/2, p.host.Done()) {
		return
	}
	if r.repeatNotice && !r.request.WithoutNotice {
		p.addNotice(r.id, terminatesAt)
	}
	if clock.Sleep(p.clock, terminatesAt.Sub(p.clock.Now()), p.host.Done()) {
		p.terminate(r.id)
	}
}

// markLeaving sets the leaving mark of an instance.
func (p *Platform) markLeaving(id string, terminatesAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rec, ok := p.instances[id]; ok {
		rec.instance.State = stateLeaving
		rec.instance.TerminatesAt = &terminatesAt
	}
}

func (p *Platform) addNotice(id string, terminatesAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices = append(p.notices, Notice{Seq: uint64(len(p.notices) + 1), ID: id, TerminatesAt: terminatesAt})
}

// StartReclaim starts to reclaim the instances that match request, and returns
// their IDs.
func (p *Platform) StartReclaim(request ReclaimRequest) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := []string{}
	for _, id := range p.startOrder {
		i := p.instances[id].instance
		if i.State == stateLive && request.matches(i) && (request.Count == 0 || len(ids) < request.Count) {
			ids = append(ids, id)
		}
	}
	for n, id := range ids {
		p.ended.Add(1)
		go (&reclamation{
			platform: p, id: id, request: request,
			delay:        time.Duration(n) * time.Duration(request.IntervalMillis) * time.Millisecond,
			repeatNotice: request.RepeatNotice || p.random.Float64() < p.settings.RepeatNoticeRate,
		}).run()
	}
	return ids
}

func (r ReclaimRequest) matches(i Instance) bool {
	return (r.Domain == "" || r.Domain == i.Domain) &&
		(r.Class == "" || r.Class == i.Class) &&
		(r.Service == "" || r.Service == i.Service) &&
		(len(r.IDs) == 0 || slices.Contains(r.IDs, i.ID)) &&
		(r.IncludeOnDemand || i.Market == "reclaimable")
}

func (p *Platform) reclaim(w http.ResponseWriter, r *http.Request) {
	var request ReclaimRequest
	if !hoster.Decode(w, r, &request) {
		return
	}
	hoster.Reply(w, http.StatusAccepted, struct {
		IDs []string `json:"ids"`
	}{p.StartReclaim(request)})
}
