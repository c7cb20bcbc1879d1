package provisioner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pomelotiller/internal/remote/renter"
	"pomelotiller/internal/standin/keeper"
)

var (
	domains  = []string{"portland", "worcester", "hartford"}
	capacity = map[string]float64{"small": 10, "large": 22}
	// basePrices are prices an hour on demand; reclaimable hosts start at a
	// third of them.
	basePrices = map[string]float64{"small": 1, "large": 2.1}
)

func slot(class, domain string, reclaimable bool) renter.Slot {
	return renter.Slot{Class: class, Domain: domain, Reclaimable: reclaimable}
}

// world is a cloud on a clock of its own, with seeded prices.
type world struct {
	now    time.Time
	cloud  *keeper.Cloud
	rand   *rand.Rand
	offers []renter.Offer
}

func newWorld(seed uint64) *world {
	w := &world{now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1))}
	w.cloud = &keeper.Cloud{Now: func() time.Time { return w.now }, Boot: 3 * time.Minute}
	for _, class := range []string{"large", "small"} {
		for _, d := range domains {
			price := basePrices[class]
			w.offers = append(w.offers, renter.Offer{Slot: slot(class, d, false), Price: price},
				renter.Offer{Slot: slot(class, d, true), Price: price / 3})
		}
	}
	w.cloud.SetOffers(w.offers)
	return w
}

func (w *world) provisioner(need float64, accept func(renter.Slot) bool) *Provisioner {
	return New(Config{
		Renter: w.cloud, Need: func() float64 { return need }, Capacity: capacity, Accept: accept, Token: "t",
		Now: func() time.Time { return w.now },
	})
}

func (w *world) hosts(t *testing.T) []renter.Host {
	t.Helper()
	hosts, err := w.cloud.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return hosts
}

// left returns the capacity of hosts without notice if a failure domain's
// reclaimable ones go.
func (w *world) left(t *testing.T) float64 {
	t.Helper()
	have, _ := count(w.hosts(t))
	var rates []rate
	for _, o := range w.offers {
		rates = append(rates, rate{Offer: o, capacity: capacity[o.Class]})
	}
	return leftAfterLoss(have, rates)
}

func step(t *testing.T, p *Provisioner) {
	t.Helper()
	if err := p.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
}

const need = 100

func TestFaults(t *testing.T) {
	refuseAll := func(domain string) (out []renter.Slot) {
		for class := range capacity {
			out = append(out, slot(class, domain, true))
		}
		return out
	}
	for name, c := range map[string]struct {
		before, after func(w *world)
	}{
		"nothing":        {func(*world) {}, func(*world) {}},
		"refused starts": {func(w *world) { w.cloud.SetFaults(keeper.CloudFaults{Refuse: refuseAll("portland")}) }, func(*world) {}},
		"all reclaimable refused": {func(w *world) {
			var all []renter.Slot
			for _, d := range domains {
				all = append(all, refuseAll(d)...)
			}
			w.cloud.SetFaults(keeper.CloudFaults{Refuse: all})
		}, func(*world) {}},
		"wave on notice": {func(*world) {}, func(w *world) { w.cloud.Reclaim("worcester", "", 30*time.Second) }},
		"wave and refusals": {func(*world) {}, func(w *world) {
			w.cloud.Reclaim("worcester", "", 30*time.Second)
			w.cloud.SetFaults(keeper.CloudFaults{Refuse: refuseAll("worcester")})
		}},
		"two waves": {func(*world) {}, func(w *world) {
			w.cloud.Reclaim("worcester", "", 5*time.Second)
			w.cloud.Reclaim("hartford", "small", 5*time.Second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1)
			p := w.provisioner(need, nil)
			c.before(w)
			step(t, p)
			if got := w.left(t); got < need {
				t.Errorf("got capacity %g after a loss, want %d", got, need)
			}
			c.after(w)
			step(t, p)
			if got := w.left(t); got < need {
				t.Errorf("got capacity %g after a loss in the step of the notice, want %d", got, need)
			}
		})
	}
}

func TestLostAnswerRentsNoSecondHost(t *testing.T) {
	w := newWorld(1)
	p := w.provisioner(need, nil)
	w.cloud.SetFaults(keeper.CloudFaults{LoseAnswers: 2})
	for range 2 {
		if err := p.Step(t.Context()); !errors.Is(err, keeper.ErrLost) {
			t.Fatalf("got error %v, want %v", err, keeper.ErrLost)
		}
	}
	step(t, p)
	sound := newWorld(1)
	step(t, sound.provisioner(need, nil))
	if got, want := w.cloud.Starts(), sound.cloud.Starts(); got != want {
		t.Errorf("got %d hosts rented, want %d as without a lost answer", got, want)
	}
	tokens := make(map[string]bool)
	for _, h := range w.hosts(t) {
		if tokens[h.Token] {
			t.Errorf("token %s rented twice", h.Token)
		}
		tokens[h.Token] = true
	}
}

func TestRefusedSlotIsLeftAloneLonger(t *testing.T) {
	w := newWorld(1)
	p := w.provisioner(need, nil)
	s := slot("large", "portland", true)
	w.cloud.SetFaults(keeper.CloudFaults{Refuse: []renter.Slot{s}})
	for _, want := range []time.Duration{firstBackoff, 2 * firstBackoff, 4 * firstBackoff} {
		if _, err := p.start(t.Context(), s, "x"); !errors.Is(err, renter.ErrRefused) {
			t.Fatalf("got error %v, want %v", err, renter.ErrRefused)
		}
		if got := p.backoff[s].until.Sub(w.now); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

func TestCheaperMixTakesOver(t *testing.T) {
	w := newWorld(1)
	p := w.provisioner(need, nil)
	step(t, p)
	for i, o := range w.offers {
		if o.Domain == "portland" && o.Reclaimable {
			w.offers[i].Price = o.Price * 10
		}
	}
	w.cloud.SetOffers(w.offers)
	for range 3 {
		w.now = w.now.Add(5 * time.Minute)
		step(t, p)
		if got := w.left(t); got < need {
			t.Errorf("got capacity %g after a loss during the change, want %d", got, need)
		}
	}
	for _, h := range w.hosts(t) {
		if h.Domain == "portland" && h.Reclaimable {
			t.Errorf("host %s is still rented at ten times the price", h.Name)
		}
	}
}

// account is what a day cost, how long capacity was short, and how long it would
// have been short after the loss of a failure domain.
type account struct {
	cost           float64
	short, exposed time.Duration
	waves          int
}

const (
	tickTime = 10 * time.Second
	dayTicks = int(24 * time.Hour / tickTime)
	// startTicks is the time given to the first hosts to start.
	startTicks = 60
)

// day plays a day of seeded prices, waves of reclaims on 30 s of notice, and
// refused starts after each wave.
func day(ctx context.Context, seed uint64, accept func(renter.Slot) bool) (account, error) {
	w := newWorld(seed)
	p := w.provisioner(need, accept)
	var a account
	var refusedUntil time.Time
	for i := range dayTicks {
		if i%360 == 0 {
			w.walkPrices()
		}
		if w.rand.Float64() < 12.0/float64(dayTicks) {
			d := domains[w.rand.IntN(len(domains))]
			w.cloud.Reclaim(d, "", 30*time.Second)
			w.cloud.SetFaults(keeper.CloudFaults{Refuse: []renter.Slot{slot("small", d, true), slot("large", d, true)}})
			refusedUntil = w.now.Add(20 * time.Minute)
			a.waves++
		}
		if w.now.After(refusedUntil) {
			w.cloud.SetFaults(keeper.CloudFaults{})
		}
		if err := p.Step(ctx); err != nil && accept == nil {
			return a, err
		}
		w.now = w.now.Add(tickTime)
		if err := w.charge(ctx, &a, i); err != nil {
			return a, err
		}
	}
	return a, nil
}

// walkPrices moves the reclaimable prices between a fifth and nine tenths of
// those on demand.
func (w *world) walkPrices() {
	for i, o := range w.offers {
		if o.Reclaimable {
			base := basePrices[o.Class]
			w.offers[i].Price = min(max(o.Price*(0.8+0.45*w.rand.Float64()), 0.2*base), 0.9*base)
		}
	}
	w.cloud.SetOffers(w.offers)
}

func (w *world) charge(ctx context.Context, a *account, tick int) error {
	hosts, err := w.cloud.Hosts(ctx)
	if err != nil {
		return err
	}
	prices := make(map[renter.Slot]float64)
	for _, o := range w.offers {
		prices[o.Slot] = o.Price
	}
	var rates []rate
	for _, o := range w.offers {
		rates = append(rates, rate{Offer: o, capacity: capacity[o.Class]})
	}
	working := Plan{}
	for _, h := range hosts {
		a.cost += prices[h.Slot] * tickTime.Hours()
		if h.Ready {
			working[h.Slot]++
		}
	}
	// The first hosts have no load to carry while they start.
	if tick < startTicks {
		return nil
	}
	if capacityOf(working, rates) < need {
		a.short += tickTime
	}
	if leftAfterLoss(working, rates) < need {
		a.exposed += tickTime
	}
	return nil
}

// strategies are the mixes compared: the provisioner's own, and the same
// provisioner held to one kind of host.
var strategies = []struct {
	name   string
	accept func(renter.Slot) bool
}{
	{"mixed", nil},
	{"on demand", func(s renter.Slot) bool { return !s.Reclaimable }},
	{"reclaimable", func(s renter.Slot) bool { return s.Reclaimable }},
}

func TestMixOverADay(t *testing.T) {
	for seed := range uint64(3) {
		got := make(map[string]account)
		for _, s := range strategies {
			a, err := day(t.Context(), seed+1, s.accept)
			if err != nil {
				t.Fatal(err)
			}
			got[s.name] = a
		}
		mixed := got["mixed"]
		if mixed.cost >= got["on demand"].cost {
			t.Errorf("seed %d: got cost %.0f, want less than %.0f on demand", seed+1, mixed.cost, got["on demand"].cost)
		}
		if mixed.short > 0 {
			t.Errorf("seed %d: got %s short of capacity, want none: no wave takes more than one failure domain", seed+1, mixed.short)
		}
		if mixed.exposed > got["reclaimable"].exposed {
			t.Errorf("seed %d: got %s without cover for a loss, want at most the %s of reclaimable hosts alone",
				seed+1, mixed.exposed, got["reclaimable"].exposed)
		}
	}
}

// BenchmarkDay reports cost and shortage of each strategy over seeded days.
func BenchmarkDay(b *testing.B) {
	for _, s := range strategies {
		for seed := range uint64(3) {
			b.Run(fmt.Sprintf("%s/seed%d", s.name, seed+1), func(b *testing.B) {
				for b.Loop() {
					a, err := day(b.Context(), seed+1, s.accept)
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(a.cost, "cost")
					b.ReportMetric(a.short.Minutes(), "short-min")
					b.ReportMetric(a.exposed.Minutes(), "exposed-min")
					b.ReportMetric(float64(a.waves), "waves")
				}
			})
		}
	}
}
