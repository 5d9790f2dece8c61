// Package admin is the admin server of an instance, which operators call over HTTP with JSON, and the client for it.
package admin
