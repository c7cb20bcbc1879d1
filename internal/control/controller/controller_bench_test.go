package controller

import (
	"fmt"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/prober"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/lister"
)

// BenchmarkReports measures one round of load reports up to the published view. A daemon runs four
// rounds a second.
func BenchmarkReports(b *testing.B) {
	for _, n := range []int{33, 180, 720} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			c := New(Config{CurrentView: &viewer.CurrentView{}, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry()})
			hosts := make([]lister.Host, n)
			reports := make([]prober.Report, n)
			for i := range hosts {
				hosts[i] = lister.Host{Name: fmt.Sprint("engine-", i), Role: lister.RoleEngine, State: lister.StateLive}
				reports[i] = prober.Report{Endpoint: hosts[i].Name, Load: inferrer.Load{Versions: []string{"chat-v1"}}}
			}
			hostsEvent(hosts).apply(c)
			membersEvent(make([]viewer.Member, n*7/12)).apply(c)
			for b.Loop() {
				reportsEvent(reports).apply(c)
				c.publishView()
			}
		})
	}
}
