package verifier

import (
	"testing"
	"time"

	"pomelotiller/internal/control/mover"
	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/generator"
)

// TestMoveWithDomainCutOff cuts a failure domain off from the others and the
// store in the middle of a move.
func TestMoveWithDomainCutOff(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		bad  bool
		// outside and inside are the shares, in percent, that the new version
		// comes to while the failure domain is cut off.
		outside, inside float64
		want            mover.State
	}{
		{"good version", false, 100, 0, mover.Done},
		{"bad version", true, 0, 0, mover.Reverted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := newNetwork(t, 6)
			m := &moving{cluster: w.cluster}
			m.engines = m.generators(generator.Config{Versions: []string{"chat-v1"}}, &m.bad)
			m.publish(m.daemons[0], testSet())
			m.awaitGeneration(1)
			m.awaitEndpoints(3)
			time.Sleep(3 * time.Second)
			by := time.Now().Add(13 * time.Second)
			m.publish(m.daemons[0], moveSet(by))
			m.traffic(m.ask)
			m.await(time.Until(by), mover.Ramping, m.daemons[0])
			domain := failureDomains[0]
			if m.holder().domain == domain {
				domain = failureDomains[1]
			}
			w.cut(domain)
			for i, d := range m.daemons {
				if d.domain == domain {
					w.stores[i].Set(faulter.Behaviour{Mode: faulter.ModeBlackhole})
				}
			}
			m.bad.Store(tc.bad)
			for _, d := range m.daemons {
				want := tc.outside
				if d.domain == domain {
					want = tc.inside
				}
				eventually(t, 15*time.Second, d.name+" at its share", func() bool { return m.move(d).Share == want })
			}
			w.heal()
			for _, l := range w.stores {
				l.Set(faulter.Behaviour{Mode: faulter.ModePass})
			}
			m.await(15*time.Second, tc.want, m.daemons...)
		})
	}
}
