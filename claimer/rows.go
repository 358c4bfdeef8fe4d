package claimer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// claimPrefix is the prefix of all claim rows.
const claimPrefix connector.RowKey = "claim/"

// rowKey returns the row key of a claim. The parts are escaped because an
// unescaped slash could map two keys to the same row.
func rowKey(key descriptor.Key) connector.RowKey {
	return claimPrefix + connector.RowKey(url.PathEscape(string(key.Caller))+"/"+url.PathEscape(string(key.ID)))
}

func decodeClaim(row connector.Row) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Claim{}, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return c, nil
}

func encodeClaim(c Claim) json.RawMessage {
	b, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("claimer: encode claim: %v", err))
	}
	return b
}

// checkSameOutcome returns ErrRecorded if the outcomes differ.
func checkSameOutcome(a, b descriptor.Outcome) error {
	encodedA, errA := json.Marshal(a)
	encodedB, errB := json.Marshal(b)
	if errA != nil || errB != nil || !bytes.Equal(encodedA, encodedB) {
		return ErrRecorded
	}
	return nil
}
