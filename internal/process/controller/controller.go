package controller

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/connection/provisioner"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/process/scaler"
	"hyssoprudder/internal/version/judge"
)

// Config holds the dependencies of a controller.
type Config struct {
	Clock clock.Clock
	Log   *log.Logger
	Core  CoreConfig
	// Lease returns the term of this node and until when it is the only leader.
	Lease func() (term uint64, until time.Time, ok bool)
	// Rules returns the rules in force, or nil.
	Rules func() *parser.Rules
	// State returns the replicated moves and intents, read under the lease.
	State func(ctx context.Context) ([]applier.Move, []applier.Intent, error)
	// Propose writes to the replicated state.
	Propose func(ctx context.Context, c applier.Command) (applier.Result, error)
	// Instances returns the provider's list of instances, with the leaving marks that this
	// node has received. It returns false without an up-to-date list or without a provider;
	// then only the moves advance.
	Instances func() ([]lister.Listed, bool)
	// Classes returns the machine classes that the provider sells.
	Classes func(ctx context.Context) ([]provisioner.Class, error)
	// Digests returns the latest counters of each entry.
	Digests func() [][]byte
	// InFlight returns the number of calls in flight at an endpoint, from all entries.
	InFlight func(id string) int
	// MarkLeaving publishes that an endpoint is leaving.
	MarkLeaving func(id string)
	// Start and Release send requests to the provider, and Load to the weight store.
	Start   func(ctx context.Context, s provisioner.Start) (provisioner.Instance, error)
	Release func(ctx context.Context, id string) error
	Load    func(ctx context.Context, service, version, id string) error
	// Order sends an engine its desired state; ReadOrder reads it back.
	Order     func(ctx context.Context, engine netip.AddrPort, order dialer.Order) error
	ReadOrder func(ctx context.Context, engine netip.AddrPort) (dialer.Order, error)
}

const (
	// leaseMargin is the minimum remaining lease for an action outside the log.
	leaseMargin = 200 * time.Millisecond
	// minBackoff is the shortest wait after the provider has limited the starts.
	minBackoff = time.Second
	// callTimeout bounds all calls of one round.
	callTimeout = 2 * time.Second
	// classesInterval is the time between two reads of the machine classes.
	classesInterval = time.Minute
)

// Controller runs rounds of decisions while its node is the leader.
type Controller struct {
	config       Config
	core         *Core
	offers       []scaler.Offer
	offersReadAt time.Time

	cancel context.CancelFunc
	group  sync.WaitGroup
}

// New returns a controller that does nothing until Start.
func New(config Config) *Controller {
	return &Controller{config: config, core: NewCore(config.Core, uuid.NewString)}
}

// Start begins the rounds.
func (c *Controller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.group.Add(1)
	go c.run(ctx)
}

// Stop ends the rounds and waits for the current one.
func (c *Controller) Stop() {
	c.cancel()
	c.group.Wait()
}

func (c *Controller) run(ctx context.Context) {
	defer c.group.Done()
	for clock.Sleep(c.config.Clock, judge.Interval, ctx.Done()) {
		c.Round(ctx)
	}
}

// Round makes one round of decisions if this node is the leader.
func (c *Controller) Round(ctx context.Context) {
	term, _, ok := c.config.Lease()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	moves, intents, err := c.config.State(ctx)
	if err != nil {
		c.config.Log.Warn("round skipped: failed to read the replicated state", "err", err)
		return
	}
	c.refreshOffers(ctx)
	instances, managed := c.config.Instances()
	actions := c.core.Decide(Snapshot{
		Now: c.config.Clock.Now(), Term: term, Rules: c.config.Rules(), Moves: moves, Intents: intents,
		Instances: instances, Managed: managed, Offers: c.offers, Digests: c.digests(), InFlight: c.config.InFlight,
	})
	for _, a := range actions {
		if !c.holdsLease(term) {
			return
		}
		c.execute(ctx, term, a)
	}
}

// holdsLease reports whether enough of the lease remains for another action.
func (c *Controller) holdsLease(term uint64) bool {
	current, until, ok := c.config.Lease()
	return ok && current == term && until.Sub(c.config.Clock.Now()) >= leaseMargin
}

func (c *Controller) refreshOffers(ctx context.Context) {
	now := c.config.Clock.Now()
	if c.config.Classes == nil || (c.offers != nil && now.Sub(c.offersReadAt) < classesInterval) {
		return
	}
	classes, err := c.config.Classes(ctx)
	if err != nil {
		c.config.Log.Warn("failed to read the machine classes; keeping the previous ones", "err", err)
		return
	}
	c.offers = c.offers[:0]
	for _, class := range classes {
		c.offers = append(c.offers, scaler.NewOffer(class.Class, class.Domain, class.Market, class.Price))
	}
	c.offersReadAt = now
}

func (c *Controller) digests() []*judge.Digest {
	var decoded []*judge.Digest
	for _, b := range c.config.Digests() {
		d, err := judge.DecodeDigest(b)
		if err != nil {
			c.config.Log.Warn("skipped a digest that can't be decoded", "err", err)
			continue
		}
		decoded = append(decoded, d)
	}
	return decoded
}

func (c *Controller) execute(ctx context.Context, term uint64, a Action) {
	var err error
	switch {
	case a.Move != nil:
		err = c.writeMove(ctx, a.Move)
	case a.Put != nil:
		err = c.putIntent(ctx, a.Put)
	case a.Close != "":
		_, err = c.config.Propose(ctx, applier.Command{IntentClose: &applier.IntentClose{ID: a.Close}})
	case a.Start != nil:
		err = c.start(ctx, a.Start)
	case a.Mark != "":
		c.config.MarkLeaving(a.Mark)
	case a.Release != "":
		err = c.release(ctx, a.Release)
	case a.Load != nil:
		err = c.load(ctx, a)
	case a.Order != nil:
		err = c.order(ctx, term, a.Order)
	}
	if err != nil {
		c.config.Log.Warn("action failed; the next round decides again", "err", err)
	}
}

func (c *Controller) writeMove(ctx context.Context, w *MoveWrite) error {
	body, err := w.State.Encode()
	if err != nil {
		return err
	}
	result, err := c.config.Propose(ctx, applier.Command{MoveSet: &applier.MoveSet{
		ID: uuid.NewString(), Service: w.State.Service, Base: w.Base, Body: body,
	}})
	if err == nil && result.Move != nil && result.Move.Accepted {
		s := w.State
		c.config.Log.Info("move", "service", s.Service, "from", s.From, "to", s.To, "phase", s.Phase, "step", s.StepIndex, "reason", s.Reason)
	}
	return err
}

func (c *Controller) putIntent(ctx context.Context, i *IntentWrite) error {
	body, err := msgpack.Marshal(i.Body)
	if err != nil {
		return err
	}
	_, err = c.config.Propose(ctx, applier.Command{IntentPut: &applier.IntentPut{ID: i.ID, Service: i.Body.Service, Body: body}})
	return err
}

// start requests the instance of an intent from the provider. Only a refusal closes the
// intent: after any other error the instance may exist.
func (c *Controller) start(ctx context.Context, i *IntentWrite) error {
	if c.core.StartsPaused(c.config.Clock.Now()) {
		return nil
	}
	instance, err := c.config.Start(ctx, provisioner.Start{
		Intent: i.ID, Domain: i.Body.Domain, Class: i.Body.Class, Market: i.Body.Market,
		Service: i.Body.Service, Version: i.Body.Version,
	})
	if errors.Is(err, provisioner.ErrNoCapacity) {
		c.core.Refused(*i, c.config.Clock.Now())
		_, err = c.config.Propose(ctx, applier.Command{IntentClose: &applier.IntentClose{ID: i.ID}})
		return err
	}
	var busy *provisioner.RateLimitedError
	if errors.As(err, &busy) {
		c.core.PauseStarts(c.config.Clock.Now().Add(max(busy.RetryAfter(), minBackoff)))
		return nil
	}
	if err != nil {
		return err
	}
	c.core.Started(*i, instance.ID)
	c.config.Log.Info("instance started", "service", i.Body.Service, "version", i.Body.Version, "instance", instance.ID)
	return nil
}

func (c *Controller) release(ctx context.Context, id string) error {
	err := c.config.Release(ctx, id)
	if errors.Is(err, provisioner.ErrNotFound) {
		return nil
	}
	return err
}

func (c *Controller) load(ctx context.Context, a Action) error {
	err := c.config.Load(ctx, a.Load.Service(), a.Load.Version(), a.Load.Instance())
	var busy *provisioner.RateLimitedError
	if errors.As(err, &busy) {
		c.core.Loaded(a, true, busy.RetryAfter(), err, c.config.Clock.Now())
		return nil
	}
	c.core.Loaded(a, false, 0, err, c.config.Clock.Now())
	return err
}

// order takes a fencing number and sends the complete desired state. For engines that do not
// check fencing numbers the state is read back: if another leader has sent an order in the
// meantime, the difference is logged, and a later round sends the order again.
func (c *Controller) order(ctx context.Context, term uint64, o *Order) error {
	result, err := c.config.Propose(ctx, applier.Command{FenceNext: &applier.FenceNext{Holder: o.Endpoint.ID()}})
	if err != nil {
		return err
	}
	if !c.holdsLease(term) || result.Fence == nil {
		return nil
	}
	fence := dialer.Fence{Term: result.Fence.Term, Count: result.Fence.Count}
	wanted := dialer.Order{Service: o.Endpoint.Service(), Version: o.Version, Role: "serve", Fence: fence}
	if err := c.config.Order(ctx, o.Endpoint.Address(), wanted); err != nil || o.Fence {
		return err
	}
	got, err := c.config.ReadOrder(ctx, o.Endpoint.Address())
	if err == nil && got != wanted {
		c.config.Log.Warn("engine reports another order than the one sent; sending it again if still needed", "endpoint", o.Endpoint.ID(), "version", got.Version, "term", got.Fence.Term)
	}
	return err
}
