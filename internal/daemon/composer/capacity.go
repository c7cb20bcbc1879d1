package composer

// prefillShare returns this daemon's equal share of the prompt tokens a second that the engines of a service
// prefill, by which refused callers are told when to come back.
func (d *Daemon) prefillShare(service string) float64 {
	engines := len(d.tracker.Load().Services[service])
	return d.chooser.PrefillRate(service) * float64(engines) / float64(max(d.memberCount(), 1))
}
