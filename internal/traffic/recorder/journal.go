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
	journalTimeout     = 2 * time.Second
	maxJournalAttempts = 3
)

// journal keeps the list of this daemon's open orders under one key of the store, so that other
// daemons find these orders after it is gone. It batches writes (group commit): orders that are
// added during a write share the next one.
type journal struct {
	ctx   context.Context
	store storer.Store
	owner string

	mu sync.Mutex
	// openOrders contains the listed orders. An order whose value is true stays listed after this
	// daemon stops processing it, because another daemon has to complete it.
	openOrders map[string]bool
	revision   uint64
	nextWrite  *journalWrite
	isWriting  bool
}

// journalWrite is one write of the journal. err is set before done is closed.
type journalWrite struct {
	done chan struct{}
	err  error
}

// journalRecord is the value of a journal's key.
type journalRecord struct {
	Open []string `json:"open"`
}

func newJournal(ctx context.Context, store storer.Store, owner string) *journal {
	return &journal{ctx: ctx, store: store, owner: owner, openOrders: make(map[string]bool)}
}

// addOrder adds an order to the journal and returns once the store has it.
func (j *journal) addOrder(ctx context.Context, id string) error {
	j.mu.Lock()
	j.openOrders[id] = false
	if j.nextWrite == nil {
		j.nextWrite = &journalWrite{done: make(chan struct{})}
	}
	w := j.nextWrite
	if !j.isWriting {
		j.isWriting = true
		go j.writeBatches()
	}
	j.mu.Unlock()
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return fmt.Errorf("add order %s to the journal: %w", id, ctx.Err())
	}
}

// removeOrder removes an order from the list, unless it is retained, without starting a write. The
// next write omits it.
func (j *journal) removeOrder(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.openOrders[id] {
		delete(j.openOrders, id)
	}
}

// retainOrder keeps an order listed because another daemon has to complete it.
func (j *journal) retainOrder(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.openOrders[id]; ok {
		j.openOrders[id] = true
	}
}

// writeBatches writes the list until no caller waits for a write.
func (j *journal) writeBatches() {
	for {
		j.mu.Lock()
		w := j.nextWrite
		if w == nil {
			j.isWriting = false
			j.mu.Unlock()
			return
		}
		j.nextWrite = nil
		ids := make([]string, 0, len(j.openOrders))
		for id := range j.openOrders {
			ids = append(ids, id)
		}
		j.mu.Unlock()
		slices.Sort(ids)
		w.err = j.writeList(ids)
		close(w.done)
	}
}

func (j *journal) writeList(ids []string) error {
	b, err := json.Marshal(journalRecord{Open: ids})
	if err != nil {
		return fmt.Errorf("encode journal: %w", err)
	}
	return j.swapEntry(storer.Write{Key: JournalPrefix + j.owner, Value: b, ID: uuid.NewString()})
}

// swapEntry writes the journal's key and retries with the new revision after a conflict.
// Overwriting is safe: only the owner adds or removes orders, and other daemons only delete the
// whole key.
func (j *journal) swapEntry(w storer.Write) error {
	ctx, cancel := context.WithTimeout(j.ctx, journalTimeout)
	defer cancel()
	var err error
	for range maxJournalAttempts {
		w.Expect = j.currentRevision()
		var e storer.Entry
		e, err = j.store.Swap(ctx, w)
		var conflict *storer.ConflictError
		if err == nil {
			j.setRevision(e)
			return nil
		}
		if !errors.As(err, &conflict) {
			break
		}
		j.setRevision(conflict.Current)
		if conflict.Current.Write == w.ID {
			return nil
		}
	}
	return fmt.Errorf("write journal of %s: %w", j.owner, err)
}

func (j *journal) currentRevision() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.revision
}

func (j *journal) setRevision(e storer.Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.revision = e.Revision
	if e.Deleted {
		j.revision = 0
	}
}

// close deletes the journal if no order is open.
func (j *journal) close() error {
	j.mu.Lock()
	idle := len(j.openOrders) == 0 && j.revision > 0 && !j.isWriting
	j.mu.Unlock()
	if !idle {
		return nil
	}
	return j.swapEntry(storer.Write{Key: JournalPrefix + j.owner, Delete: true, ID: uuid.NewString()})
}
