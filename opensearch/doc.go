// Package opensearch is the front for OpenSearch-style queries (_search, _msearch), with the transport to stores that speak
// the same API. Its queries go through a broker of its own, by the same decisions and rules as the platform's.
package opensearch
