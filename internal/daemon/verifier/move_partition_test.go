package verifier

import (
	"testing"
	"time"

	"pomelotiller/internal/control/mover"
	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/generator"
)

// TestMoveDuringPartition partitions a failure domain from the others and from the store during a
// move. The domain must return to the old version, while the others complete the move or, if the new
// version fails, revert it. After the partition all daemons must agree.
func TestMoveDuringPartition(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name           string
		failNewVersion bool
		// outside and inside are the shares, in percent, that the new version reaches outside and inside
		// the partitioned failure domain.
		outside, inside float64
		want            mover.State
	}{
		{"good version", false, 100, 0, mover.Done},
		{"bad version", true, 0, 0, mover.Reverted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := newProxiedCluster(t, 6)
			m := &moveCluster{cluster: w.cluster}
			m.engines = m.startLocalEngines(generator.Config{Versions: []string{"chat-v1"}}, &m.failNewVersion)
			m.publishConfig(m.daemons[0], testConfig())
			m.awaitGeneration(1)
			m.awaitEndpoints(3)
			time.Sleep(3 * time.Second)
			by := time.Now().Add(13 * time.Second)
			m.publishConfig(m.daemons[0], moveConfig(by))
			m.startTraffic(m.requestCompletion)
			m.awaitMoveState(time.Until(by), mover.Ramping, m.daemons[0])
			domain := failureDomains[0]
			if m.moveHolder().domain == domain {
				domain = failureDomains[1]
			}
			w.isolateDomain(domain)
			for i, d := range m.daemons {
				if d.domain == domain {
					w.storeLinks[i].Set(faulter.Behaviour{Mode: faulter.ModeBlackhole})
				}
			}
			m.failNewVersion.Store(tc.failNewVersion)
			for _, d := range m.daemons {
				want := tc.outside
				if d.domain == domain {
					want = tc.inside
				}
				eventually(t, 15*time.Second, d.name+" at the expected share", func() bool { return m.moveStatus(d).Share == want })
			}
			w.healPeerLinks()
			for _, l := range w.storeLinks {
				l.Set(faulter.Behaviour{Mode: faulter.ModePass})
			}
			m.awaitMoveState(15*time.Second, tc.want, m.daemons...)
		})
	}
}
