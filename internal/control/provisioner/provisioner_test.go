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
	// basePrices are the hourly on-demand prices; reclaimable hosts start at a third of them.
	basePrices = map[string]float64{"small": 1, "large": 2.1}
)

func slot(class, domain string, reclaimable bool) renter.HostType {
	return renter.HostType{Class: class, Domain: domain, Reclaimable: reclaimable}
}

// simulation is a cloud with a simulated clock and seeded prices.
type simulation struct {
	now    time.Time
	cloud  *keeper.Cloud
	rand   *rand.Rand
	offers []renter.Offer
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1))}
	w.cloud = &keeper.Cloud{Now: func() time.Time { return w.now }, Boot: 3 * time.Minute}
	for _, class := range []string{"large", "small"} {
		for _, d := range domains {
			price := basePrices[class]
			w.offers = append(w.offers, renter.Offer{HostType: slot(class, d, false), Price: price},
				renter.Offer{HostType: slot(class, d, true), Price: price / 3})
		}
	}
	w.cloud.SetOffers(w.offers)
	return w
}

func (w *simulation) provisioner(need float64, accept func(renter.HostType) bool) *Provisioner {
	return New(Config{
		Renter: w.cloud, RequiredCapacity: func() float64 { return need }, HostCapacity: capacity, AcceptSlot: accept, TokenPrefix: "t",
		Now: func() time.Time { return w.now },
	})
}

func (w *simulation) hosts(t *testing.T) []renter.Host {
	t.Helper()
	hosts, err := w.cloud.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return hosts
}

// remainingCapacity returns the capacity of the hosts without notice after the worst failure domain
// loses its reclaimable hosts.
func (w *simulation) remainingCapacity(t *testing.T) float64 {
	t.Helper()
	have, _ := countHosts(w.hosts(t))
	var offerList []capacityOffer
	for _, o := range w.offers {
		offerList = append(offerList, capacityOffer{Offer: o, capacity: capacity[o.Class]})
	}
	return capacityAfterLoss(have, offerList)
}

func step(t *testing.T, p *Provisioner) {
	t.Helper()
	if err := p.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
}

const need = 100

func TestCapacityAfterFaults(t *testing.T) {
	refuseAll := func(domain string) (out []renter.HostType) {
		for class := range capacity {
			out = append(out, slot(class, domain, true))
		}
		return out
	}
	for name, c := range map[string]struct {
		before, after func(w *simulation)
	}{
		"nothing":        {func(*simulation) {}, func(*simulation) {}},
		"refused starts": {func(w *simulation) { w.cloud.SetFaults(keeper.CloudFaults{Refuse: refuseAll("portland")}) }, func(*simulation) {}},
		"all reclaimable refused": {func(w *simulation) {
			var all []renter.HostType
			for _, d := range domains {
				all = append(all, refuseAll(d)...)
			}
			w.cloud.SetFaults(keeper.CloudFaults{Refuse: all})
		}, func(*simulation) {}},
		"wave on notice": {func(*simulation) {}, func(w *simulation) { w.cloud.Reclaim("worcester", "", 30*time.Second) }},
		"wave and refusals": {func(*simulation) {}, func(w *simulation) {
			w.cloud.Reclaim("worcester", "", 30*time.Second)
			w.cloud.SetFaults(keeper.CloudFaults{Refuse: refuseAll("worcester")})
		}},
		"two waves": {func(*simulation) {}, func(w *simulation) {
			w.cloud.Reclaim("worcester", "", 5*time.Second)
			w.cloud.Reclaim("hartford", "small", 5*time.Second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(1)
			p := w.provisioner(need, nil)
			c.before(w)
			step(t, p)
			if got := w.remainingCapacity(t); got < need {
				t.Errorf("got capacity %g after a loss, want %d", got, need)
			}
			c.after(w)
			step(t, p)
			if got := w.remainingCapacity(t); got < need {
				t.Errorf("got capacity %g after a loss in the step after the fault, want %d", got, need)
			}
		})
	}
}

func TestLostAnswerRentsNoSecondHost(t *testing.T) {
	w := newSimulation(1)
	p := w.provisioner(need, nil)
	w.cloud.SetFaults(keeper.CloudFaults{LoseAnswers: 2})
	for range 2 {
		if err := p.Step(t.Context()); !errors.Is(err, keeper.ErrLost) {
			t.Fatalf("got error %v, want %v", err, keeper.ErrLost)
		}
	}
	step(t, p)
	reference := newSimulation(1)
	step(t, reference.provisioner(need, nil))
	if got, want := w.cloud.Starts(), reference.cloud.Starts(); got != want {
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

func TestRefusedSlotBackoffDoubles(t *testing.T) {
	w := newSimulation(1)
	p := w.provisioner(need, nil)
	s := slot("large", "portland", true)
	w.cloud.SetFaults(keeper.CloudFaults{Refuse: []renter.HostType{s}})
	for _, want := range []time.Duration{minBackoff, 2 * minBackoff, 4 * minBackoff} {
		if _, err := p.startHost(t.Context(), s, "x"); !errors.Is(err, renter.ErrRefused) {
			t.Fatalf("got error %v, want %v", err, renter.ErrRefused)
		}
		if got := p.backoff[s].until.Sub(w.now); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

func TestSwitchToCheaperMix(t *testing.T) {
	w := newSimulation(1)
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
		if got := w.remainingCapacity(t); got < need {
			t.Errorf("got capacity %g after a loss during the change, want %d", got, need)
		}
	}
	for _, h := range w.hosts(t) {
		if h.Domain == "portland" && h.Reclaimable {
			t.Errorf("host %s is still rented at ten times the price", h.Name)
		}
	}
}

// dayReport is what a day cost, how long capacity was too low, how long it would have been too low
// after the loss of a failure domain, and the number of waves of reclaims.
type dayReport struct {
	cost                   float64
	shortTime, exposedTime time.Duration
	waves                  int
}

const (
	tickPeriod  = 10 * time.Second
	ticksPerDay = int(24 * time.Hour / tickPeriod)
	// startupTicks is the time in which the first hosts start.
	startupTicks = 60
)

// simulateDay simulates a day of seeded prices with waves of reclaims on 30 s of notice and refused
// starts after each wave. It returns cost and shortage.
func simulateDay(ctx context.Context, seed uint64, accept func(renter.HostType) bool) (dayReport, error) {
	w := newSimulation(seed)
	p := w.provisioner(need, accept)
	var a dayReport
	var refusedUntil time.Time
	for i := range ticksPerDay {
		if i%360 == 0 {
			w.varyPrices()
		}
		if w.rand.Float64() < 12.0/float64(ticksPerDay) {
			d := domains[w.rand.IntN(len(domains))]
			w.cloud.Reclaim(d, "", 30*time.Second)
			w.cloud.SetFaults(keeper.CloudFaults{Refuse: []renter.HostType{slot("small", d, true), slot("large", d, true)}})
			refusedUntil = w.now.Add(20 * time.Minute)
			a.waves++
		}
		if w.now.After(refusedUntil) {
			w.cloud.SetFaults(keeper.CloudFaults{})
		}
		if err := p.Step(ctx); err != nil && accept == nil {
			return a, err
		}
		w.now = w.now.Add(tickPeriod)
		if err := w.recordTick(ctx, &a, i); err != nil {
			return a, err
		}
	}
	return a, nil
}

// varyPrices changes the reclaimable prices at random, between a fifth and nine tenths of the
// on-demand prices.
func (w *simulation) varyPrices() {
	for i, o := range w.offers {
		if o.Reclaimable {
			base := basePrices[o.Class]
			w.offers[i].Price = min(max(o.Price*(0.8+0.45*w.rand.Float64()), 0.2*base), 0.9*base)
		}
	}
	w.cloud.SetOffers(w.offers)
}

func (w *simulation) recordTick(ctx context.Context, a *dayReport, tick int) error {
	hosts, err := w.cloud.Hosts(ctx)
	if err != nil {
		return err
	}
	prices := make(map[renter.HostType]float64)
	for _, o := range w.offers {
		prices[o.HostType] = o.Price
	}
	var offerList []capacityOffer
	for _, o := range w.offers {
		offerList = append(offerList, capacityOffer{Offer: o, capacity: capacity[o.Class]})
	}
	readyPlan := Plan{}
	for _, h := range hosts {
		a.cost += prices[h.HostType] * tickPeriod.Hours()
		if h.Ready {
			readyPlan[h.HostType]++
		}
	}
	// There is no load yet while the first hosts start.
	if tick < startupTicks {
		return nil
	}
	if planCapacity(readyPlan, offerList) < need {
		a.shortTime += tickPeriod
	}
	if capacityAfterLoss(readyPlan, offerList) < need {
		a.exposedTime += tickPeriod
	}
	return nil
}

// strategies are the mixes compared: that of the provisioner, and the same provisioner limited to
// one kind of host.
var strategies = []struct {
	name   string
	accept func(renter.HostType) bool
}{
	{"mixed", nil},
	{"on demand", func(s renter.HostType) bool { return !s.Reclaimable }},
	{"reclaimable", func(s renter.HostType) bool { return s.Reclaimable }},
}

func TestMixOverADay(t *testing.T) {
	for seed := range uint64(3) {
		got := make(map[string]dayReport)
		for _, s := range strategies {
			a, err := simulateDay(t.Context(), seed+1, s.accept)
			if err != nil {
				t.Fatal(err)
			}
			got[s.name] = a
		}
		mixed := got["mixed"]
		if mixed.cost >= got["on demand"].cost {
			t.Errorf("seed %d: got cost %.0f, want less than %.0f on demand", seed+1, mixed.cost, got["on demand"].cost)
		}
		if mixed.shortTime > 0 {
			t.Errorf("seed %d: got %s short of capacity, want none: no wave takes more than one failure domain", seed+1, mixed.shortTime)
		}
		if mixed.exposedTime > got["reclaimable"].exposedTime {
			t.Errorf("seed %d: got %s with too little capacity after a loss, want at most the %s of reclaimable hosts alone",
				seed+1, mixed.exposedTime, got["reclaimable"].exposedTime)
		}
	}
}

// BenchmarkDay reports cost and shortage of each strategy over seeded days.
func BenchmarkDay(b *testing.B) {
	for _, s := range strategies {
		for seed := range uint64(3) {
			b.Run(fmt.Sprintf("%s/seed%d", s.name, seed+1), func(b *testing.B) {
				for b.Loop() {
					a, err := simulateDay(b.Context(), seed+1, s.accept)
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(a.cost, "cost")
					b.ReportMetric(a.shortTime.Minutes(), "short-min")
					b.ReportMetric(a.exposedTime.Minutes(), "exposed-min")
					b.ReportMetric(float64(a.waves), "waves")
				}
			})
		}
	}
}
