package alderproxy

import (
	"context"
	"fmt"
	"net"

	"alderproxy/admin"
)

// startAdmin starts the admin server for the components that are on, which must have been started already.
func (p *program) startAdmin() error {
	token, err := readSecret(p.config.AdminTokenFile)
	if err != nil {
		return fmt.Errorf("instance.admin_token_file: %w", err)
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", p.config.AdminAddr)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	services := admin.Services{Gossip: p.gossip}
	if p.sharedConfig != nil {
		services.Config = p.sharedConfig.node
	}
	p.admin = admin.Start(listener, services, string(token), p.log.WithField("instance", p.config.ID))
	return nil
}
