package assembler

import (
	"context"

	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/fleet/prober"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/lister"
)

// leavingTopic is the gossip topic of notices that an endpoint is leaving. The key of an item holds
// the endpoint's name and address, so that a notice does not apply to a new host of the same name.
// A notice is never withdrawn.
const leavingTopic = "leaving"

// leavingKey returns the gossip key of the notice that an endpoint is leaving.
func leavingKey(name, address string) string { return name + "@" + address }

// announceLeaving gossips that an endpoint is leaving, unless that is known. source is how this
// daemon learned of it, and the label of the counter.
func (d *Daemon) announceLeaving(name, address, source string) {
	if d.isLeaving(name, address) {
		return
	}
	meter.AddToCounter(d.registry, 1, "leaving_notices_total", "source", source)
	d.gossiper.Publish(gossiper.Item{Topic: leavingTopic, Key: leavingKey(name, address), Version: 1, Value: []byte(name)})
}

// applyLeavingNotice handles a notice that an endpoint is leaving: the endpoint gets no new
// requests, and those in flight at it migrate.
func (d *Daemon) applyLeavingNotice(i gossiper.Item) {
	d.leavingEndpoints.Store(i.Key, true)
	name := string(i.Value)
	d.control.SetLeaving(d.ctx, name)
	d.relayer.MigrateRequests(name)
}

// isLeaving reports whether a notice that the endpoint is leaving is known.
func (d *Daemon) isLeaving(name, address string) bool {
	_, ok := d.leavingEndpoints.Load(leavingKey(name, address))
	return ok
}

// handleLeavingRefusal announces an engine that refused a request because it is leaving.
func (d *Daemon) handleLeavingRefusal(e viewer.Endpoint) {
	d.announceLeaving(e.Name, e.Address, "refusal")
}

// handleProbeReports applies the outcomes of a round of probes: cache sizes, and which engines are
// leaving.
func (d *Daemon) handleProbeReports(reports []prober.Report) {
	addresses := make(map[string]string)
	for _, e := range d.viewHolder.Load().Endpoints {
		addresses[e.Name] = e.Address
	}
	for _, r := range reports {
		if r.Err == nil {
			d.router.SetCacheSize(r.Endpoint, r.Load.CacheSize)
		}
		if address := addresses[r.Endpoint]; r.Load.Leaving && address != "" {
			d.announceLeaving(r.Endpoint, address, "report")
		}
	}
	d.control.SetReports(d.ctx, reports)
}

// leavingLister wraps the platform's host list, which may lag: it marks each host that is known to
// be leaving, and announces each host that the platform lists as leaving.
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
			l.daemon.announceLeaving(h.Name, h.Address, "list")
		case l.daemon.isLeaving(h.Name, h.Address):
			hosts[i].State = lister.StateLeaving
		}
	}
	return hosts, err
}
