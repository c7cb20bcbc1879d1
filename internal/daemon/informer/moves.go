package informer

import (
	"net/http"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/control/mover"
)

// Moves tells the state of the moves of a configuration.
type Moves interface {
	Rows(set loader.Set) []mover.Row
}

func (i *Informer) serveMoves(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, i.cfg.Moves.Rows(i.cfg.View().Set))
}
