package viewer

import (
	"slices"
	"time"
)

// Evacuation is the request of an operator that nothing more be sent to the endpoints of a failure
// domain.
type Evacuation struct {
	Domain    string    `json:"domain"`
	Requested time.Time `json:"requested"`
}

// IsEvacuated reports whether the evacuation of a failure domain is requested.
func (v View) IsEvacuated(domain string) bool {
	return slices.ContainsFunc(v.Evacuations, func(e Evacuation) bool { return e.Domain == domain })
}

// Domains returns the sorted names of the failure domains of the pools, endpoints and daemons.
func (v View) Domains() []string {
	var names []string
	for _, p := range v.Set.Pools {
		names = append(names, p.Domain)
	}
	for _, e := range v.Endpoints {
		names = append(names, e.Domain)
	}
	for _, m := range v.Members {
		names = append(names, m.Domain)
	}
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == "" })
}
