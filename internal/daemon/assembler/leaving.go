package assembler

import (
	"context"

	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/fleet/prober"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/lister"
)

// leavingTopic is the topic under which daemons tell one another which
// endpoints are leaving. A key is the endpoint's name and address, so that a
// new host which takes over the name starts anew. The fact never goes back.
const leavingTopic = "leaving"

func leavingKey(name, address string) string { return name + "@" + address }

// endpointLeaving spreads that an endpoint is leaving, whoever noticed it.
func (d *Daemon) endpointLeaving(name, address, source string) {
	if d.isLeaving(name, address) {
		return
	}
	meter.Count(d.registry, 1, "leaving_notices_total", "source", source)
	d.gossiper.Publish(gossiper.Item{Topic: leavingTopic, Key: leavingKey(name, address), Version: 1, Value: []byte(name)})
}

// learnLeaving obeys that an endpoint is leaving: it gets no new work, and the
// requests on it move.
func (d *Daemon) learnLeaving(i gossiper.Item) {
	d.leavings.Store(i.Key, true)
	name := string(i.Value)
	d.control.SetLeaving(d.ctx, name)
	d.relayer.MigrateRequests(name)
}

func (d *Daemon) isLeaving(name, address string) bool {
	_, ok := d.leavings.Load(leavingKey(name, address))
	return ok
}

// refusedByLeaving takes in an engine's refusal of work.
func (d *Daemon) refusedByLeaving(e viewer.Endpoint) { d.endpointLeaving(e.Name, e.Address, "refusal") }

// reported takes in a round of load reports.
func (d *Daemon) reported(reports []prober.Report) {
	addresses := make(map[string]string)
	for _, e := range d.holder.Load().Endpoints {
		addresses[e.Name] = e.Address
	}
	for _, r := range reports {
		if r.Err == nil {
			d.router.SetCacheSize(r.Endpoint, r.Load.CacheSize)
		}
		if address := addresses[r.Endpoint]; r.Load.Leaving && address != "" {
			d.endpointLeaving(r.Endpoint, address, "report")
		}
	}
	d.control.SetReports(d.ctx, reports)
}

// leavingLister is a list of hosts that is ahead of the platform's: it says of
// each host known to be leaving that it is.
type leavingLister struct {
	lister.Lister
	daemon *Daemon
}

// Hosts implements lister.Lister.
func (l leavingLister) Hosts(ctx context.Context) ([]lister.Host, error) {
	hosts, err := l.Lister.Hosts(ctx)
	for i, h := range hosts {
		switch {
		case h.Role == lister.RoleEntry:
		case h.State == lister.StateLeaving:
			l.daemon.endpointLeaving(h.Name, h.Address, "list")
		case l.daemon.isLeaving(h.Name, h.Address):
			hosts[i].State = lister.StateLeaving
		}
	}
	return hosts, err
}
