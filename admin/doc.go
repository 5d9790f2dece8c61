// Package admin implements the admin server of an instance, which operators call over HTTP with JSON, and its client.
package admin
