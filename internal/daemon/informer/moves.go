package informer

import (
	"net/http"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/control/mover"
)

// MoveLister returns the states of the moves in a configuration.
type MoveLister interface {
	MoveStatuses(set loader.Set) []mover.MoveStatus
}

// serveMoves answers with the states of all moves in the current configuration.
func (i *Informer) serveMoves(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, i.cfg.MoveLister.MoveStatuses(i.cfg.View().Set))
}
