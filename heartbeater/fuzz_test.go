package heartbeater

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// FuzzMessages guards against a peer message that causes a panic or breaks the order
// of the member lists. The input is decoded as each of the request types.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"b":[1,2,3],"r":{"dc":"a","peer":"x:1","http":"x:2"}}`))
	f.Add([]byte(`{"b":[1,2,3,4,5,6,7,8,9,10],"x":true,"l":[{"i":"a-2","p":"y:1"}]}`))
	f.Add([]byte(`{"b":[1,2]}`))
	f.Add([]byte(`{"b":[-1,-2,-3,-4,-5,-6,-7,-8,-9,-10],"a":true,"w":true,"r":{"dc":"a"}}`))
	f.Add([]byte(`{"g":{"d":"b","c":"b-1","n":1,"s":5,"f":[{"i":"b-2"},{"i":"b-1"}],"l":[[1,2,3,4,5,0],[1]]}}`))
	f.Add([]byte(`{"r":true,"g":{"d":"b","c":"b-1","n":1,"s":0,"l":[]}}`))
	f.Add([]byte(`{"r":true,"g":{"d":"b","c":"b-1","n":1,"s":0,"f":[{"i":"b-1"}],"l":[]}}`))
	f.Add([]byte(`{"p":"b","h":5}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h := New(Config{
			Clock: clockwork.NewFakeClock(), Self: Member{ID: "a-0", Incarnation: 1, DataCentre: "a"},
			DataCentres: []descriptor.DataCentreID{"a", "b"},
		})
		h.closing = true // prevents outgoing calls
		var hb *heartbeat
		if json.Unmarshal(data, &hb) == nil {
			_, _ = h.onHeartbeat(context.Background(), "a-1", hb)
			_, err := json.Marshal(hb)
			require.NoError(t, err)
		}
		var msg digestMessage
		if json.Unmarshal(data, &msg) == nil {
			_, _ = h.onDigest(context.Background(), "b-1", msg)
		}
		h.tick()
		for _, dc := range h.dataCentres {
			members := h.Members(dc)
			for i := 1; i < len(members); i++ {
				require.LessOrEqual(t, members[i-1].ID, members[i].ID)
			}
		}
		h.Reachable("b")
		h.cancelBase()
	})
}
