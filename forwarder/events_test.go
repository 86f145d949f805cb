package forwarder

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
)

func TestSplitEvents(t *testing.T) {
	for _, tc := range []struct{ in, events, rest, ids string }{
		{"", "", "", ""},
		{"id: 1\ndata: a\n", "", "id: 1\ndata: a\n", ""},
		{"id: 1\ndata: a\n\nid: 2", "id: 1\ndata: a\n\n", "id: 2", "1"},
		{"id:1\r\n\r\nid: 2\n\n", "id:1\r\n\r\nid: 2\n\n", "", "1 2"},
		{"data: no id\n\n", "data: no id\n\n", "", ""},
		{"weights: 3\nid: x7\n\n", "weights: 3\nid: x7\n\n", "", "x7"},
	} {
		t.Run(tc.in, func(t *testing.T) {
			is := is.New(t)
			events, rest, ids := splitEvents([]byte(tc.in))
			var got []string
			for _, id := range ids {
				got = append(got, id.text)
			}
			is.Equal(string(events), tc.events)
			is.Equal(string(rest), tc.rest)
			is.Equal(strings.Join(got, " "), tc.ids)
		})
	}
}

func TestFollows(t *testing.T) {
	is := is.New(t)
	is.True(parseEventID("1").follows(eventID{}))
	is.True(parseEventID("5").follows(parseEventID("4")))
	is.True(!parseEventID("6").follows(parseEventID("4"))) // event 5 is missing
	is.True(!parseEventID("4").follows(parseEventID("4"))) // event 4 is repeated
	is.True(parseEventID("b").follows(parseEventID("a")))
}

// FuzzSplitEvents checks that any input, read in pieces of any size, is passed on unchanged and
// in complete events.
func FuzzSplitEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\r\n\r\n", 3)
	f.Fuzz(func(t *testing.T, in string, size int) {
		if size < 1 {
			size = 1
		}
		var out, pending []byte
		for at := 0; at < len(in); at += size {
			pending = append(pending, in[at:min(len(in), at+size)]...)
			events, rest, _ := splitEvents(pending)
			if len(events) > 0 && !strings.HasSuffix(string(events), "\n\n") && !strings.HasSuffix(string(events), "\r\n\r\n") {
				t.Fatalf("events %q do not end with an empty line", events)
			}
			out = append(out, events...)
			pending = append([]byte(nil), rest...)
		}
		if got := string(out) + string(pending); got != in {
			t.Fatalf("input %q was changed to %q", in, got)
		}
	})
}

// FuzzEventBuffer checks that a buffer returns what splitEvents does, in pieces of any size.
func FuzzEventBuffer(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\r\n\r\nid: 3", 3)
	f.Add(strings.Repeat("x", 3*eventFree)+"\n\nid: 2\n\n", 1000)
	f.Fuzz(func(t *testing.T, in string, size int) {
		is := is.New(t)
		memory := new(bufferMemory)
		b := &eventBuffer{memory: memory, limit: maxLongAnswers}
		var out []byte
		var ids []eventID
		for at := 0; at < len(in); at += max(1, size) {
			events, more, err := b.add([]byte(in[at:min(len(in), at+max(1, size))]))
			is.NoErr(err)
			out, ids = append(out, events...), append(ids, more...)
		}
		events, rest, want := splitEvents([]byte(in))
		is.Equal(string(out), string(events))
		is.Equal(ids, want)
		is.Equal(b.pending(), len(rest))
		b.release()
		is.Equal(memory.reserved.Load(), int64(0))
	})
}

func TestFormatPath(t *testing.T) {
	hops := []balancer.Hop{{Address: "10.1.0.1:80", To: 20}, {Address: "10.2.0.1:80", From: 20, To: 80}}
	is.New(t).Equal(FormatPath(hops), "10.1.0.1:80=0-20,10.2.0.1:80=20-80")
}
