package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"pomelotiller/internal/remote/storer"
)

// JournalPrefix starts the keys of the journals in the store.
const JournalPrefix = "order-owners/"

const (
	journalTimeout = 2 * time.Second
	journalTries   = 3
)

// journal lists the open orders of this daemon under one key of the store, so
// that others find them when it is gone. Orders that come while a write is
// under way share the next one.
type journal struct {
	ctx   context.Context
	store storer.Store
	owner string

	mu sync.Mutex
	// open holds the listed orders; those that are true stay listed when this
	// daemon lets go of them, for another one to find.
	open     map[string]bool
	revision uint64
	next     *journalWrite
	writing  bool
}

// journalWrite is one write of the journal; err is set before done is closed.
type journalWrite struct {
	done chan struct{}
	err  error
}

// journalRecord is the value of a journal's key.
type journalRecord struct {
	Open []string `json:"open"`
}

func newJournal(ctx context.Context, store storer.Store, owner string) *journal {
	return &journal{ctx: ctx, store: store, owner: owner, open: make(map[string]bool)}
}

// add returns once the order is listed in the store.
func (j *journal) add(ctx context.Context, id string) error {
	j.mu.Lock()
	j.open[id] = false
	if j.next == nil {
		j.next = &journalWrite{done: make(chan struct{})}
	}
	w := j.next
	if !j.writing {
		j.writing = true
		go j.run()
	}
	j.mu.Unlock()
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return fmt.Errorf("list order %s: %w", id, ctx.Err())
	}
}

// remove drops an order from the next write; it costs none of its own.
func (j *journal) remove(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.open[id] {
		delete(j.open, id)
	}
}

// keep leaves an order listed that another daemon has to take to its end.
func (j *journal) keep(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.open[id]; ok {
		j.open[id] = true
	}
}

// run writes until nobody waits for a write.
func (j *journal) run() {
	for {
		j.mu.Lock()
		w := j.next
		if w == nil {
			j.writing = false
			j.mu.Unlock()
			return
		}
		j.next = nil
		ids := make([]string, 0, len(j.open))
		for id := range j.open {
			ids = append(ids, id)
		}
		j.mu.Unlock()
		slices.Sort(ids)
		w.err = j.write(ids)
		close(w.done)
	}
}

func (j *journal) write(ids []string) error {
	b, err := json.Marshal(journalRecord{Open: ids})
	if err != nil {
		return fmt.Errorf("encode journal: %w", err)
	}
	return j.swap(storer.Write{Key: JournalPrefix + j.owner, Value: b, ID: uuid.NewString()})
}

// swap writes whatever the journal's key holds: its owner alone says what is
// open, and others only delete it.
func (j *journal) swap(w storer.Write) error {
	ctx, cancel := context.WithTimeout(j.ctx, journalTimeout)
	defer cancel()
	var err error
	for range journalTries {
		w.Expect = j.at()
		var e storer.Entry
		e, err = j.store.Swap(ctx, w)
		var conflict *storer.ConflictError
		if err == nil {
			j.set(e)
			return nil
		}
		if !errors.As(err, &conflict) {
			break
		}
		j.set(conflict.Current)
		if conflict.Current.Write == w.ID {
			return nil
		}
	}
	return fmt.Errorf("write journal of %s: %w", j.owner, err)
}

func (j *journal) at() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.revision
}

func (j *journal) set(e storer.Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.revision = e.Revision
	if e.Deleted {
		j.revision = 0
	}
}

// close deletes the journal if nothing is open.
func (j *journal) close() error {
	j.mu.Lock()
	idle := len(j.open) == 0 && j.revision > 0 && !j.writing
	j.mu.Unlock()
	if !idle {
		return nil
	}
	return j.swap(storer.Write{Key: JournalPrefix + j.owner, Delete: true, ID: uuid.NewString()})
}
