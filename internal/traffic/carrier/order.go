package carrier

import (
	"errors"
	"fmt"
	"strconv"
)

// errEventOrder means that an event does not follow those that the caller has.
var errEventOrder = errors.New("event out of order")

// errNoEvent means that bytes in the body of a stream are no event.
var errNoEvent = errors.New("bytes that are no event")

// eventOrder follows the ids of the events of one stream that the caller has, over all attempts. Ids that
// are numbers rise from event to event.
type eventOrder struct {
	// lastID is the id of the last event with an id, firstID that of the first one; empty if there is none.
	lastID, firstID string
	// unnamed says that the caller has an event with data after the one with lastID, or without any id.
	unnamed bool
	// steps counts the events whose number was the next one, and jumps those that left numbers out.
	steps, jumps int
}

// admission is the part of some events that may follow those that the caller has.
type admission struct {
	// length is the length of these events in bytes.
	length int
	// firstID and lastID are the ids of the first and the last of them that have one.
	firstID, lastID string
}

// admit finds how many whole events may follow those that the caller has, and returns an error for the
// first that may not. The order counts only if the stream is resumable; joins says that they begin what an
// endpoint sent to resume it.
func (o *eventOrder) admit(events []byte, isResumable, joins bool) (admission, error) {
	var done admission
	for len(events) > 0 {
		event, rest := cutEvent(events)
		if !isEvent(event) {
			return done, errNoEvent
		}
		id := eventID(event)
		if err := o.follow(id, hasData(event), joins); err != nil && isResumable {
			return done, err
		}
		done.length += len(event)
		events = rest
		if id == "" {
			continue
		}
		joins = false
		done.lastID = id
		if done.firstID == "" {
			done.firstID = id
		}
	}
	return done, nil
}

// follow records that the caller gets an event with an id, or an empty one, and returns an error if the
// event cannot follow those before.
func (o *eventOrder) follow(id string, hasData, joins bool) error {
	if id == "" {
		if joins && hasData {
			return fmt.Errorf("%w: one without an id after %q", errEventOrder, o.lastID)
		}
		o.unnamed = o.unnamed || hasData
		return nil
	}
	next, isNumber := number(id)
	last, wasNumber := number(o.lastID)
	switch {
	case id == o.lastID || joins && id == o.firstID || isNumber && wasNumber && next <= last:
		return fmt.Errorf("%w: %q after %q", errEventOrder, id, o.lastID)
	case isNumber && wasNumber && next == last+1, o.lastID == "" && isNumber && next <= 1:
		o.steps++
	case joins && o.steps > 0 && o.jumps == 0:
		return fmt.Errorf("%w: %q after %q of a stream that left no number out", errEventOrder, id, o.lastID)
	case o.lastID != "":
		o.jumps++
	}
	if o.firstID == "" {
		o.firstID = id
	}
	o.lastID, o.unnamed = id, false
	return nil
}

// number returns the number that an id is; false if it is none.
func number(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}
