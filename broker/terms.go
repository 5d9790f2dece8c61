package broker

import (
	"errors"
	"fmt"
	"time"

	"alderproxy/policy"
)

// ErrFetchPhaseUnsupported is wrapped by the error for settings with a class that has a fetch phase.
var ErrFetchPhaseUnsupported = errors.New("classes with a fetch phase are not supported")

// Terms are one version of the configuration by which queries are served. They must not be changed after they have been
// passed to a broker.
type Terms struct {
	// Version is the version of the replicated configuration; 0 if there is no replicated configuration.
	Version uint64
	// Settings are the settings of the aggregator.
	Settings policy.Settings
	// FrontData is data that the front needs to parse queries. The broker does not use it.
	FrontData any
}

// Gate reports whether queries may be admitted by the given terms now and, if not, after what time clients should retry.
// It is called by the event loop and must not block.
type Gate func(*Terms) (open bool, retryAfter time.Duration)

// Check returns an error if a broker cannot serve queries by the terms.
func (t *Terms) Check() error {
	for _, class := range t.Settings.Classes {
		if class.MaxFetchParts > 0 {
			return fmt.Errorf("class %s: %w", class.Name, ErrFetchPhaseUnsupported)
		}
	}
	return t.Settings.Validate()
}

// Terms returns the terms by which new queries are admitted.
func (b *Broker) Terms() *Terms { return b.terms.Load() }

// SetTerms replaces the terms by which new queries are admitted. Open queries keep their class's settings and the version
// of the terms by which they were admitted, and the statistics of stores are kept. If the terms fail Check, SetTerms
// returns its error and changes nothing.
func (b *Broker) SetTerms(t *Terms) error {
	if err := t.Check(); err != nil {
		return err
	}
	b.post(termsChanged{t})
	return nil
}
