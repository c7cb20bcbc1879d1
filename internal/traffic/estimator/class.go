package estimator

import (
	"math"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
)

// speedClass says whether an engine differs much from the mean of its service.
type speedClass string

const (
	classUsual speedClass = "usual"
	classSlow  speedClass = "slow"
	classFast  speedClass = "fast"
)

const (
	// slowBelow and fastAbove are the factors from which an engine counts as slow or fast. It stays so until
	// its factor is classMargin nearer to 1, so that one at the edge is not logged again and again.
	slowBelow, fastAbove = 0.8, 1.25
	classMargin          = 0.05
)

// classOf returns the class of an engine with a factor, which had the class former.
func classOf(factor float64, former speedClass) speedClass {
	slow, fast := slowBelow, fastAbove
	switch former {
	case classSlow:
		slow += classMargin
	case classFast:
		fast -= classMargin
	}
	switch {
	case factor < slow:
		return classSlow
	case factor > fast:
		return classFast
	}
	return classUsual
}

// LogChanges logs each engine that has become slow or fast, or no longer is, and counts them in the metrics.
func (m *Estimator) LogChanges() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshIfDue()
	counts := make(map[string]map[speedClass]int64)
	for _, e := range m.engines {
		factor := math.Exp(e.relative)
		class := classOf(factor, e.speed)
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[speedClass]int64)
		}
		counts[e.Service][class]++
		if class != e.speed && (class != classUsual || e.speed != "") && m.cfg.Logger != nil {
			logger.Info(m.cfg.Logger, "msg", "engine speed changed", "endpoint", e.ID, "born", e.Born, "service", e.Service, "speed", string(class), "factor", math.Round(factor*100)/100,
				"observations", e.observations, "age", m.cfg.Now().Sub(e.observedAt))
		}
		e.speed = class
	}
	if m.cfg.Registry == nil {
		return
	}
	for service, byClass := range counts {
		for _, class := range []speedClass{classSlow, classFast} {
			metrics.GetOrRegisterGauge(meter.Name("engines", "service", service, "speed", string(class)), m.cfg.Registry).Update(byClass[class])
		}
	}
}
