package forwarder

import (
	"bytes"
	"strconv"
)

// eventID is the id of an event; numbers are compared, other ids are not.
type eventID struct {
	text   string
	number int64
	// numeric is set when number holds.
	numeric bool
}

func parseEventID(text string) eventID {
	n, err := strconv.ParseInt(text, 10, 64)
	return eventID{text: text, number: n, numeric: err == nil}
}

// follows reports whether id may come after last: one more, where both are
// numbers.
func (id eventID) follows(last eventID) bool {
	if last.text == "" || !id.numeric || !last.numeric {
		return true
	}
	return id.number == last.number+1
}

// cutEvents splits off the whole events at the start of b: each ends with an
// empty line. It returns them, the rest, and the ids in order.
func cutEvents(b []byte) (events, rest []byte, ids []eventID) {
	end := 0
	for {
		n := eventEnd(b[end:])
		if n < 0 {
			return b[:end], b[end:], ids
		}
		if id, ok := idOf(b[end : end+n]); ok {
			ids = append(ids, id)
		}
		end += n
	}
}

// eventEnd is the length of the first whole event, or -1.
func eventEnd(b []byte) int {
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

func idOf(event []byte) (eventID, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return parseEventID(string(bytes.TrimSpace(v))), true
		}
	}
	return eventID{}, false
}
