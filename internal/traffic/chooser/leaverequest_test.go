package chooser

import (
	"slices"
	"time"
)

// request plays one request at a daemon: it is chosen, prefilled and answered.
func (m *model) request(c *Chooser, from string) {
	if m.rule.isExact() {
		m.reported = nil
		for _, other := range m.choosers {
			m.reported = append(m.reported, other.Loads())
		}
		c.SetPeerLoads("others", m.othersLoads(slices.Index(m.choosers, c)))
	}
	// A few prefixes are used by many requests.
	prefix := int(float64(m.prefixes) * m.rand.Float64() * m.rand.Float64())
	q := newModelQuery(prefix)
	if m.plain {
		q = Query{Service: "s", Target: modelPlainTarget, MaxWait: 3 * modelPlainTarget / 2}
	}
	counts := m.now >= modelWarmup
	if counts {
		m.out.requests++
	}
	for range 3 {
		ch, ok := c.Pick(q, m.list())
		if !ok || ch.Wait > q.MaxWait {
			if counts {
				m.out.refused++
			}
			return
		}
		if m.send(c, q, ch, from, prefix, counts) {
			return
		}
		q.Excluded = append(q.Excluded, ch.Endpoint.ID)
	}
	if counts {
		m.out.failed++
	}
}

// send plays an attempt, and reports whether the endpoint could be reached.
func (m *model) send(c *Chooser, q Query, ch Choice, from string, prefix int, counts bool) bool {
	e := m.engines[ch.Endpoint.ID]
	a := c.Start(q, ch)
	if e.Domain != from {
		if counts {
			m.out.left++
			m.out.leftOf[from]++
			m.out.leftTo[e.Domain]++
		}
		m.out.leftBySecond[int(m.now/time.Second)]++
		if m.cut != "" && m.now >= m.cutAt && (m.cut == e.Domain || m.cut == from) {
			a.RecordResult(ResultUnreachable)
			return false
		}
	}
	if m.plain {
		m.call(a, e, from, counts)
		return true
	}
	tokens := e.prefill(prefix, m.now)
	e.freeAt = max(e.freeAt, m.now) + time.Duration(float64(tokens)/modelPrefillSpeed*float64(time.Millisecond))
	first := e.freeAt + idleFirstEventTime
	if e.Domain != from {
		first += 2400 * time.Microsecond
	}
	wait := first - m.now
	if counts {
		m.out.waits = append(m.out.waits, wait)
		m.out.recomputed += tokens - modelOwn
		if wait > modelTarget {
			m.out.late++
		}
	}
	m.schedule(first, a.RecordFirstByte)
	m.schedule(first+modelAnswer, func() { a.RecordResult(ResultGood) })
	return true
}

// call plays a call to a plain endpoint.
func (m *model) call(a *Attempt, e *engine, from string, counts bool) {
	i := slices.Index(e.places, slices.Min(e.places))
	e.places[i] = max(e.places[i], m.now) + time.Duration(15+m.rand.IntN(16))*time.Millisecond
	wait := e.places[i] - m.now
	if e.Domain != from {
		wait += 2400 * time.Microsecond
	}
	fails := e.Domain == "z0" && m.rand.Float64() < m.failing
	if counts && fails {
		m.out.failed++
	}
	if counts && !fails {
		m.out.waits = append(m.out.waits, wait)
		if wait > modelPlainTarget {
			m.out.late++
		}
	}
	m.schedule(m.now+wait, func() {
		a.RecordFirstByte()
		if fails {
			a.RecordResult(ResultFailed)
			return
		}
		a.RecordResult(ResultGood)
	})
}
