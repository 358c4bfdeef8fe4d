package descriptor

// Target describes a target as listed by the platform.
type Target struct {
	ID         TargetID     `json:"id"`
	DataCentre DataCentreID `json:"dataCentre"`
	Rack       RackID       `json:"rack"`
	// Address is the host:port of the target's API.
	Address  string    `json:"address"`
	Capacity Resources `json:"capacity"`
	Leaving  bool      `json:"leaving,omitempty"`
}
