// Package estimator learns how fast each engine prefills prompts, relative to the mean of its service, from
// the first events that all daemons observe. It makes no network calls: reports of other daemons are passed
// in, and its own are taken out.
package estimator

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/sharer"
)

const (
	// retentionTime is the averaging time of what is known of an engine. A temporary slowness of 0.6 s is too
	// short to move such an average, and is over before other daemons could know of it.
	retentionTime = 20 * time.Second
	// minFactor and maxFactor limit the factor of an engine.
	minFactor, maxFactor = 0.3, 3.0
	// significantDeviation is the deviation of a single observation, as a logarithm, times the number of
	// standard errors up to which the difference of an engine from the mean counts as noise.
	significantDeviation = 0.5
	// queueDeviation is the difference, as a logarithm, that queues of which no daemon knows make between engines
	// of equal speed. More observations do not reduce it.
	queueDeviation = 0.05
	// Observations that are faster than what is known by contradiction, as a logarithm, reduce the weight of
	// earlier ones to contradictedWeight: a queue makes an engine seem slow, but nothing makes it seem fast. Few
	// requests go to an engine that seems slow, so that these have to count.
	contradiction, contradictedWeight = 0.6, 0.5
	// refreshPeriod is the time between two computations of the factors.
	refreshPeriod = 200 * time.Millisecond
)

// Engine identifies one incarnation of an engine.
type Engine struct {
	ID, Service string
	Born        int64
}

// Config configures an Estimator.
type Config struct {
	Now func() time.Time
	// Logger receives a line when an engine becomes slow or fast; nil logs nothing.
	Logger log.Logger
	// Registry receives the numbers of slow and fast engines; nil keeps none.
	Registry metrics.Registry
}

// Estimator holds the model of each engine. Its methods are safe for concurrent use.
type Estimator struct {
	cfg Config

	mu sync.Mutex
	// engines holds the model of each engine by the key under which daemons report it, and keys holds the
	// key of the present incarnation by endpoint.
	engines     map[uint32]*engine
	keys        map[string]uint32
	refreshedAt time.Time
	reportedAt  time.Time
}

// engine is the model of one incarnation of an engine.
type engine struct {
	Engine
	tally
	// observations counts all observations of the incarnation, observedAt is the time of the latest one.
	observations int
	observedAt   time.Time
	// pending holds what this daemon observed and has not reported yet.
	pending tally
	// relative is the logarithm of the factor, as of the latest refresh.
	relative float64
	speed    speedClass
}

// Model is what is known of an engine.
type Model struct {
	// Factor is the engine's prefill speed divided by the mean of its service.
	Factor float64
	// Observations counts the observations of the incarnation, and Age is the time since the latest one.
	Observations int
	Age          time.Duration
}

// New returns an estimator without any engines.
func New(cfg Config) *Estimator {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Estimator{cfg: cfg, engines: make(map[uint32]*engine), keys: make(map[string]uint32)}
}

// Key returns the key under which daemons report an incarnation of an endpoint. Two of 720 engines have the
// same key in one of 16,000 fleets; their observations are then mixed up.
func Key(endpoint string, born int64) uint32 {
	h := xxhash.New()
	// The hash never returns an error.
	_, _ = h.WriteString(endpoint)
	var b [8]byte
	for i := range b {
		b[i] = byte(born >> (8 * i))
	}
	_, _ = h.Write(b[:])
	return uint32(h.Sum64())
}

// SetEngines sets the engines that are known; the models of others are dropped.
func (m *Estimator) SetEngines(engines []Engine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[string]bool, len(engines))
	for _, e := range engines {
		known[e.ID] = true
		m.engine(e)
	}
	for id, key := range m.keys {
		if !known[id] {
			delete(m.keys, id)
			delete(m.engines, key)
		}
	}
}

// engine returns the model of an incarnation. A new one begins with nothing, since its host may be another one
// and the fleet learns a speed within seconds. It returns nil for an incarnation
// that is older than the known one.
func (m *Estimator) engine(e Engine) *engine {
	key := Key(e.ID, e.Born)
	if s := m.engines[key]; s != nil {
		return s
	}
	s := &engine{Engine: e}
	if oldKey, ok := m.keys[e.ID]; ok {
		if m.engines[oldKey].Born > e.Born {
			return nil
		}
		delete(m.engines, oldKey)
	}
	m.engines[key], m.keys[e.ID] = s, key
	return s
}

// Factor returns the prefill speed of an engine divided by the mean of its service: 1 if nothing is known of
// the engine, or no difference that is more than noise.
func (m *Estimator) Factor(endpoint string, born int64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshIfDue()
	s := m.engines[m.keys[endpoint]]
	if s == nil || s.Born != born {
		return 1
	}
	return math.Exp(s.relative)
}

// Model returns what is known of an engine.
func (m *Estimator) Model(endpoint string, born int64) Model {
	factor := m.Factor(endpoint, born)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.engines[m.keys[endpoint]]
	if s == nil || s.Born != born || s.observations == 0 {
		return Model{Factor: factor}
	}
	return Model{Factor: factor, Observations: s.observations, Age: m.cfg.Now().Sub(s.observedAt)}
}

// refreshIfDue computes the factors of all engines again if the latest computation is refreshPeriod old.
func (m *Estimator) refreshIfDue() {
	now := m.cfg.Now()
	if now.Sub(m.refreshedAt) < refreshPeriod {
		return
	}
	m.refreshedAt = now
	sums, weights := make(map[string]float64), make(map[string]float64)
	for _, s := range m.engines {
		s.tally = s.tally.decayed(now, retentionTime)
		if s.weight > 0 {
			sums[s.Service] += s.weight * math.Exp(s.mean())
			weights[s.Service] += s.weight
		}
	}
	for _, s := range m.engines {
		s.relative = 0
		if s.weight > 0 {
			s.relative = significantDifference(math.Log(sums[s.Service]/weights[s.Service])-s.mean(), s.weight)
		}
	}
}

// significantDifference returns a difference shrunk towards 0 by its standard error (positive-part shrinkage),
// so that equally fast engines count as such, and limited to the range of factors.
func significantDifference(d, weight float64) float64 {
	noise := math.Hypot(significantDeviation/math.Sqrt(weight), queueDeviation)
	if math.Abs(d) <= noise {
		return 0
	}
	d *= 1 - noise*noise/(d*d)
	return min(max(d, math.Log(minFactor)), math.Log(maxFactor))
}

// Observations from other daemons or this one that are out of these ranges are dropped.
const (
	maxReportedWeight  = 1 << 16
	maxReportedLogTime = 8
)

// Add adds what other daemons observed. It drops observations of engines that are not known, and such as no
// daemon reports.
func (m *Estimator) Add(observations []sharer.Observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	for _, o := range observations {
		s := m.engines[o.Engine]
		t := tallyOf(o)
		if s == nil || !t.isPlausible() {
			continue
		}
		s.add(t, now)
		s.observations += int(math.Ceil(t.weight))
	}
}

// add adds observations that were made about now.
func (s *engine) add(t tally, now time.Time) {
	s.tally = s.tally.decayed(now, retentionTime)
	if s.weight > 0 && t.mean() < s.mean()-contradiction {
		s.sum, s.weight = s.sum*contradictedWeight, s.weight*contradictedWeight
	}
	s.sum += t.sum
	s.weight += t.weight
	s.observedAt = now
}
