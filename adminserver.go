package alderproxy

import (
	"fmt"
	"net"

	"alderproxy/admin"
)

// startAdmin starts the operators' pages on those parts that are on.
func (p *program) startAdmin() error {
	token, err := readSecret(p.config.TokenFile)
	if err != nil {
		return fmt.Errorf("instance.admin_token_file: %w", err)
	}
	l, err := net.Listen("tcp", p.config.Admin)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	parts := admin.Parts{Fleet: p.gossip}
	if p.sharedConfig != nil {
		parts.Agreement = p.sharedConfig.node
	}
	p.admin = admin.Start(l, parts, string(token), p.log.WithField("instance", p.config.ID))
	return nil
}
