package instance

import (
	"github.com/masticlead/masticlead/validator"
	w "github.com/masticlead/masticlead/workload"
)

// maxLoggedFindings bounds the log lines for one configuration.
const maxLoggedFindings = 20

// reportFindings logs and counts the faults in a configuration, which is used
// nevertheless: it is in force already, and most of it works.
func (in *Instance) reportFindings(cfg *w.Config) {
	findings := new(validator.Validator).Validate(cfg)
	for i, f := range findings {
		in.Meter.Count("configuration", f.Kind.String())
		if i < maxLoggedFindings {
			in.Log.Warn("finding in the configuration", "version", cfg.Version, "kind", f.Kind, "place", f.Place, "finding", f.Message)
		}
	}
}
