package mover

import (
	"time"

	"pomelotiller/internal/config/loader"
)

// MoveStatus is the state of one move in the operator interface.
type MoveStatus struct {
	Name   string        `json:"name"`
	Route  string        `json:"route"`
	From   string        `json:"from"`
	To     string        `json:"to"`
	State  State         `json:"state"`
	Share  float64       `json:"share"`
	By     time.Time     `json:"by"`
	Reason string        `json:"reason,omitempty"`
	Run    uint64        `json:"run"`
	Holder string        `json:"holder"`
	Epoch  uint64        `json:"epoch"`
	Seen   VersionCounts `json:"seen"`
}

// MoveStatuses returns the moves of a configuration as this daemon knows them.
func (f *Follower) MoveStatuses(set loader.Set) []MoveStatus {
	rows := make([]MoveStatus, 0, len(set.Moves))
	for _, m := range set.Moves {
		r, l := f.RecordAndLatch(m.Name)
		row := MoveStatus{Name: m.Name, Route: m.Route, From: m.From, To: m.To, State: Pending, By: m.By}
		if r.belongsTo(m) && !r.Withdrawn {
			row.State, row.Share, row.Reason, row.Run = r.State, r.Share, r.Reason, r.Run
			row.Holder, row.Epoch = r.Holder, r.Epoch
			row.Seen = f.OutcomeTotals(m.Name)
			switch {
			case l.Run == r.Run && r.State != Reverted && !r.Released:
				row.State, row.Share, row.Reason = Reverting, 0, l.Reason
			case f.isOverdue(m.Name):
				row.Share, row.Reason = 0, "the hour has passed and this daemon has not heard that the move is done"
			}
		}
		rows = append(rows, row)
	}
	return rows
}
