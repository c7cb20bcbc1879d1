package mover

import "pomelotiller/internal/config/loader"

// WantedVersions returns the versions that engines must load for the routes and moves of a
// configuration, and the versions of ended moves that they must unload.
func (f *Follower) WantedVersions(set loader.Set) (load, unload []string) {
	wanted := make(map[string]bool)
	ended := make(map[string]bool)
	for _, r := range set.Routes {
		for _, s := range r.Versions {
			wanted[s.Version] = true
		}
	}
	for _, m := range set.Moves {
		r, _ := f.RecordAndLatch(m.Name)
		switch {
		case !r.belongsTo(m) || r.Withdrawn || r.State == Pending:
		case r.State == Reverted:
			ended[m.To] = f.cfg.Now().Sub(r.EnteredAt) >= revertedDrainTime
		case r.Released:
			ended[m.From] = f.cfg.Now().Sub(r.EnteredAt) >= revertedDrainTime
			wanted[m.To] = true
		default:
			wanted[m.To] = true
		}
	}
	for _, v := range set.Versions {
		switch {
		case ended[v.Name] && !f.isWantedElsewhere(set, v.Name):
			unload = append(unload, v.Name)
		case wanted[v.Name]:
			load = append(load, v.Name)
		}
	}
	return load, unload
}

// isWantedElsewhere reports whether a route gives a version a share above zero, or a move that has
// not ended leads from or to the version.
func (f *Follower) isWantedElsewhere(set loader.Set, version string) bool {
	for _, m := range set.Moves {
		r, _ := f.RecordAndLatch(m.Name)
		over := r.belongsTo(m) && (r.State == Reverted || r.Released)
		if !over && (m.From == version || m.To == version) {
			return true
		}
	}
	splits := f.MoveShares(set)
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
