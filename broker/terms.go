package broker

import (
	"errors"
	"fmt"
	"time"

	"alderproxy/policy"
)

// ErrFetchPhaseUnsupported is returned for settings with classes that have a fetch phase after the first answer.
var ErrFetchPhaseUnsupported = errors.New("classes with a fetch phase are not supported")

// Terms are the configuration by which queries are served. They must not be changed after they were handed to a broker.
type Terms struct {
	// Version is that of the replicated configuration; 0 where there is none.
	Version uint64
	// Settings are those of the decisions.
	Settings policy.Settings
	// FrontData is what the front needs to parse queries.
	FrontData any
}

// Gate reports whether new queries may be admitted by the given terms now, and if not, after what time a client should
// retry. It is called by the event loop and must not block.
type Gate func(*Terms) (open bool, retryAfter time.Duration)

// Check returns an error if a broker cannot serve by the terms.
func (t *Terms) Check() error {
	for _, class := range t.Settings.Classes {
		if class.MaxFetchParts > 0 {
			return fmt.Errorf("class %s: %w", class.Name, ErrFetchPhaseUnsupported)
		}
	}
	return t.Settings.Validate()
}

// Terms returns the terms by which queries are admitted now.
func (b *Broker) Terms() *Terms { return b.terms.Load() }

// SetTerms makes the broker admit queries by other terms from now on. Queries that are open are answered by the terms of
// their admission, and the statistics about stores are kept. If the terms fail Check, its error is returned and nothing
// changes.
func (b *Broker) SetTerms(t *Terms) error {
	if err := t.Check(); err != nil {
		return err
	}
	b.post(termsChanged{t})
	return nil
}
