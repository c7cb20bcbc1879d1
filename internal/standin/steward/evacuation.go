package steward

// EvacuationKey returns the key whose presence requests the evacuation of a failure domain.
func EvacuationKey(zone string) string { return "op/evacuate/" + zone }

// Evacuate requests the evacuation of a failure domain in the role of the operator, and returns the
// revision.
func (s *Steward) Evacuate(zone string) uint64 { return s.Put(EvacuationKey(zone), []byte("{}")) }

// EndEvacuation withdraws the request of Evacuate.
func (s *Steward) EndEvacuation(zone string) { s.Remove(EvacuationKey(zone)) }
