package forwarder

import (
	"bytes"
	"strconv"
)

// eventID is the id of a server-sent event. Only numeric ids have an order that can be checked.
type eventID struct {
	text   string
	number int64
	// numeric is set when text is a decimal integer; number is valid only then.
	numeric bool
}

func parseEventID(text string) eventID {
	n, err := strconv.ParseInt(text, 10, 64)
	return eventID{text: text, number: n, numeric: err == nil}
}

// follows reports whether id may come directly after last. Where both are numeric, id must be
// last plus one.
func (id eventID) follows(last eventID) bool {
	if last.text == "" || !id.numeric || !last.numeric {
		return true
	}
	return id.number == last.number+1
}

// eventBuffer collects the bytes of a stream until they are whole events. Its memory and limit are set before use, and release
// is called at the end.
type eventBuffer struct {
	memory *bufferMemory
	// limit is the number of bytes that all users of memory may reserve.
	limit int64
	// bytes holds the events that add returned last, which are returned bytes long, and those of an event that is not
	// complete, of which reserved bytes are reserved.
	bytes    []byte
	returned int
	reserved int64
}

// newEventBuffer returns the buffer for a response to the request.
func (k *call) newEventBuffer() *eventBuffer {
	return &eventBuffer{memory: &k.answerMemory, limit: k.answerLimit()}
}

// pending returns the number of bytes of the event that is not complete.
func (b *eventBuffer) pending() int { return len(b.bytes) - b.returned }

// add adds bytes and returns the events that are complete now, and their ids. They are valid until the next call. The error
// means that the event which is not complete is too large.
func (b *eventBuffer) add(p []byte) (events []byte, ids []eventID, err error) {
	b.dropReturned()
	known := max(0, len(b.bytes)-len("\r\n\r"))
	b.bytes = append(b.bytes, p...)
	if firstEventLength(b.bytes[known:]) >= 0 {
		events, _, ids = splitEvents(b.bytes)
		b.returned = len(events)
	}
	return events, ids, b.reserve()
}

// dropReturned removes the events that were returned, and the memory that a long one took.
func (b *eventBuffer) dropReturned() {
	if b.returned == 0 {
		return
	}
	rest := b.bytes[b.returned:]
	if cap(b.bytes) > eventFree {
		b.bytes = nil
		b.release()
	}
	b.bytes, b.returned = append(b.bytes[:0], rest...), 0
}

// reserve reserves memory for the event that is not complete.
func (b *eventBuffer) reserve() error {
	if b.pending() > maxEventBytes {
		return errEventTooLarge
	}
	for int64(b.pending()) > eventFree+b.reserved {
		if !b.memory.reserve(eventStep, b.limit) {
			return errNoMemory
		}
		b.reserved += eventStep
	}
	return nil
}

// release frees the reserved memory.
func (b *eventBuffer) release() {
	b.memory.reserved.Add(-b.reserved)
	b.reserved = 0
}

// splitEvents splits b after its last complete event; an event ends with an empty line. It
// returns the complete events, the remaining bytes, and the events' ids in order.
func splitEvents(b []byte) (events, rest []byte, ids []eventID) {
	end := 0
	for {
		n := firstEventLength(b[end:])
		if n < 0 {
			return b[:end], b[end:], ids
		}
		if id, ok := findEventID(b[end : end+n]); ok {
			ids = append(ids, id)
		}
		end += n
	}
}

// firstEventLength returns the length in bytes of the first complete event in b, or -1.
func firstEventLength(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + len("\n\n")
	default:
		return crlf + len("\r\n\r\n")
	}
}

// findEventID returns the value of the event's id field, and false when it has none.
func findEventID(event []byte) (eventID, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return parseEventID(string(bytes.TrimSpace(v))), true
		}
	}
	return eventID{}, false
}
