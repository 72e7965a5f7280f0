package schedule

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/fairness"
)

var testHeader = Header{Pool: "p", Epoch: 3, Incarnation: 4, Generation: 1, Seq: 7, Clock: 123456}

var testMessages = []json.Marshaler{
	&DemandMsg{},
	&DemandMsg{Header: testHeader, Done: []Completion{{Number: 9, Outcome: api.GrantOutcome{Result: api.ResultFailed, BootNumber: 2}}}},
	&DemandMsg{Header: testHeader, Added: []Announcement{{Number: 1, Workspace: "ä\"\\\n", Class: api.ClassLong, Hint: 1.5, Avoid: "t1"}, {Number: 2}},
		Cancelled: []uint64{5, 0}, Confirmed: []Confirm{{Number: 6, Warmth: api.WarmthCold, Boot: 3}, {}}},
	&ReportMsg{Header: testHeader, Waiting: []Announcement{{Number: 1, Workspace: "w"}},
		Running:           []Running{{Number: 8, Workspace: "w", Target: "t", Class: api.ClassQuick, Estimate: 12.25, Confirmed: true, AgeMs: 5}},
		Done:              []Completion{{Number: 9, Outcome: api.GrantOutcome{Result: api.ResultOK, Cost: 0.5, Warmth: api.WarmthWarm}}},
		Table:             ServiceTableMsg{Epoch: 2, Seq: 4, VirtualTime: 1e7, Rows: []fairness.Row{{Workspace: "w", RelativeService: -3, MeanCosts: [4]float64{0, 0, 7}}}},
		ServiceSinceTable: []Usage{{"w", -2.5}}},
	&ReportMsg{},
	&GrantMsg{Pool: "p", Epoch: 1, Incarnation: 2, Generation: 3, Clock: 4, GrantsBefore: 5, Ack: 6, WantReport: true, Grants: []Grant{{1, "t", 0, 100}, {2, "", 1, 0}, {}}},
	&GrantMsg{WantReport: true, Pool: "p"},
	&ServiceTableMsg{Pool: "p", Epoch: 9, Seq: 8, VirtualTime: 1234567.125, Rows: []fairness.Row{{Workspace: "w", RelativeService: 2}}},
}

func newOfType(m any) json.Unmarshaler {
	return reflect.New(reflect.TypeOf(m).Elem()).Interface().(json.Unmarshaler)
}

// Guards against a message that changes when encoded and decoded, or whose encoding
// is rejected by encoding/json, which the mesh uses.
func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range testMessages {
		raw, err := json.Marshal(m)
		is.NoErr(err)
		got := newOfType(m)
		is.NoErr(json.Unmarshal(raw, got))
		is.Equal(m, got)
	}
}

// Guards against a decoder that accepts malformed messages.
func TestMalformedMessagesRejected(t *testing.T) {
	for _, text := range []string{``, `{}`, `[`, `[1]`, `["p",-1]`, `["p",1.5]`, `["p",1,]`, `["p" 1]`, `[,]`, `["p]`, `["p"]]`,
		`["p",1,1,1,1,1,1,[[1,"w",9]]]`, `["p",1,1,1,1,1,1,[1]]`, `["p",1,1,1,1,1,1,[[1,"w",0,-1]]]`, `["p",1,1,1,1,1,1,[[1,"w",0,1e999]]]`,
		`["p",1,1,1,1,1,1,[],[],[],[],1]`, `["\q"]`, `["p",18446744073709551616]`, `["p",1,1,1,1,1,1,[],["a"]]`} {
		if err := new(DemandMsg).UnmarshalJSON([]byte(text)); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
}

// Guards against a decoder that panics and against a decoded message whose encoding
// cannot be decoded again.
func FuzzMessages(f *testing.F) {
	for _, m := range testMessages {
		raw, err := m.MarshalJSON()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, m := range []any{&DemandMsg{}, &ReportMsg{}, &GrantMsg{}, &ServiceTableMsg{}} {
			if m.(json.Unmarshaler).UnmarshalJSON(raw) != nil {
				continue
			}
			again, err := json.Marshal(m)
			if err != nil {
				t.Fatalf("%T: %v", m, err)
			}
			if err := newOfType(m).UnmarshalJSON(again); err != nil {
				t.Fatalf("%T: %s became %s: %v", m, raw, again, err)
			}
		}
	})
}
