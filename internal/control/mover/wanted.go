package mover

import "pomelotiller/internal/config/loader"

// Wanted returns the versions that engines must have for the routes and moves
// of a configuration, and those of ended moves that they must not have.
func (f *Follower) Wanted(set loader.Set) (load, unload []string) {
	wanted := make(map[string]bool)
	ended := make(map[string]bool)
	for _, r := range set.Routes {
		for _, s := range r.Versions {
			wanted[s.Version] = true
		}
	}
	for _, m := range set.Moves {
		r, _ := f.Known(m.Name)
		switch {
		case !r.belongsTo(m) || r.Withdrawn || r.State == Pending:
		case r.State == Reverted:
			ended[m.To] = f.cfg.Now().Sub(r.Entered) >= drainTime
		case r.Released:
			ended[m.From] = true
			wanted[m.To] = true
		default:
			wanted[m.To] = true
		}
	}
	for _, v := range set.Versions {
		switch {
		case ended[v.Name] && !f.wantedElsewhere(set, v.Name):
			unload = append(unload, v.Name)
		case wanted[v.Name]:
			load = append(load, v.Name)
		}
	}
	return load, unload
}

// wantedElsewhere reports whether a route serves a version with a share, or a
// move that has not ended names it.
func (f *Follower) wantedElsewhere(set loader.Set, version string) bool {
	for _, m := range set.Moves {
		r, _ := f.Known(m.Name)
		over := r.belongsTo(m) && (r.State == Reverted || r.Released)
		if !over && (m.From == version || m.To == version) {
			return true
		}
	}
	splits := f.Splits(set)
	for _, r := range set.Routes {
		shares, ok := splits[r.Name]
		if !ok {
			shares = r.Versions
		}
		for _, s := range shares {
			if s.Version == version && s.Share > 0 {
				return true
			}
		}
	}
	return false
}
