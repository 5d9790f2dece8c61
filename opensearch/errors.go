package opensearch

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"alderproxy/httpwire"
)

// OpenSearch's names for the types of errors.
const (
	errorTypeIllegalArgument  = "illegal_argument_exception"
	errorTypeParse            = "parse_exception"
	errorTypeParsing          = "parsing_exception"
	errorTypeIndexNotFound    = "index_not_found_exception"
	errorTypeSearchPhase      = "search_phase_execution_exception"
	errorTypeTimeout          = "timeout_exception"
	errorTypeRejected         = "rejected_execution_exception"
	errorTypeCircuitBreaking  = "circuit_breaking_exception"
	errorTypeClusterBlock     = "cluster_block_exception"
	errorTypeMethodNotAllowed = "method_not_allowed"
	errorTypeNotReady         = "not_ready"
)

var (
	errUnsupported = errors.New("not supported by this broker")
	errConfigStale = errors.New("this instance cannot tell that its configuration is the agreed one")
)

// apiError is an error of a request or of one search, with the HTTP status and the error type of its response.
type apiError struct {
	status     int
	errorType  string
	err        error
	retryAfter time.Duration // 0 means that the response has no Retry-After
}

func newError(status int, errorType string, err error) *apiError {
	return &apiError{status: status, errorType: errorType, err: err}
}

func illegalArgument(err error) *apiError {
	return newError(http.StatusBadRequest, errorTypeIllegalArgument, err)
}

// configStale returns the error of a search that is rejected because the instance's configuration may have been replaced.
func configStale(retryAfter time.Duration) *apiError {
	return &apiError{status: http.StatusServiceUnavailable, errorType: errorTypeClusterBlock, err: errConfigStale, retryAfter: retryAfter}
}

// unsupported returns an error that names a feature of OpenSearch which the front does not have.
func unsupported(feature string) error { return fmt.Errorf("[%s] is %w", feature, errUnsupported) }

// body returns the error in OpenSearch's JSON form.
func (e *apiError) body() []byte { return appendError(nil, e.status, e.errorType, e.err.Error()) }

func (e *apiError) reply() *httpwire.Reply {
	return &httpwire.Reply{Status: e.status, Header: retryAfterHeader(e.retryAfter), Body: e.body()}
}

// rejectionBody returns the body of a response to a request that the HTTP server rejects itself.
func rejectionBody(status int, err error) []byte {
	errorType := errorTypeParse
	if status == http.StatusTooManyRequests {
		errorType = errorTypeCircuitBreaking
	}
	return appendError(nil, status, errorType, err.Error())
}

// retryAfterHeader returns the Retry-After header in whole seconds, rounded up, or nil if retryAfter is not positive.
func retryAfterHeader(retryAfter time.Duration) httpwire.Header {
	if retryAfter <= 0 {
		return nil
	}
	return httpwire.Header{{Name: "Retry-After", Value: strconv.Itoa(int(math.Ceil(retryAfter.Seconds())))}}
}

// appendError appends an error in OpenSearch's JSON form.
func appendError(to []byte, status int, errorType, reason string) []byte {
	quoted, err := json.Marshal(reason)
	if err != nil { // a string can always be encoded
		quoted = []byte(`""`)
	}
	return fmt.Appendf(to, `{"error":{"root_cause":[{"type":%q,"reason":%s}],"type":%q,"reason":%s},"status":%d}`,
		errorType, quoted, errorType, quoted, status)
}
