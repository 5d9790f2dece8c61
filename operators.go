package alderproxy

import (
	"fmt"
	"net"

	"alderproxy/admin"
)

// operate starts the operators' pages on those parts that are on.
func (p *program) operate() error {
	token, err := secret(p.config.TokenFile)
	if err != nil {
		return fmt.Errorf("instance.admin_token_file: %w", err)
	}
	l, err := net.Listen("tcp", p.config.Admin)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	parts := admin.Parts{Fleet: p.fleet}
	if p.agreement != nil {
		parts.Agreement = p.agreement.node
	}
	p.operators = admin.Start(l, parts, string(token), p.log.WithField("instance", p.config.ID))
	return nil
}
