// Package opensearch is the front for OpenSearch-style queries (_search, _msearch), with the codec for stores that have the
// same API. Its queries are served by a broker of its own, by the same decisions and rules as those of package platform.
package opensearch
