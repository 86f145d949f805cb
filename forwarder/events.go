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
