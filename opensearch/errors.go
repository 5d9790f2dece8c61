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

// OpenSearch's names for kinds of errors.
const (
	errorTypeIllegalArgument  = "illegal_argument_exception"
	errorTypeParse            = "parse_exception"
	errorTypeParsing          = "parsing_exception"
	errorTypeIndexNotFound    = "index_not_found_exception"
	errorTypeSearchPhase      = "search_phase_execution_exception"
	errorTypeTimeout          = "timeout_exception"
	errorTypeRejected         = "rejected_execution_exception"
	errorTypeClusterBlock     = "cluster_block_exception"
	errorTypeMethodNotAllowed = "method_not_allowed"
	errorTypeNotReady         = "not_ready"
)

var (
	errUnsupported = errors.New("not supported by this broker")
	errConfigStale = errors.New("this instance cannot tell that its configuration is the agreed one")
)

// apiError is an error with its HTTP status and OpenSearch's name for its kind.
type apiError struct {
	status     int
	errorType  string
	err        error
	retryAfter time.Duration // 0: none is sent
}

func newError(status int, errorType string, err error) *apiError {
	return &apiError{status: status, errorType: errorType, err: err}
}

func illegalArgument(err error) *apiError {
	return newError(http.StatusBadRequest, errorTypeIllegalArgument, err)
}

// configStale rejects a search because the instance's configuration may have been replaced.
func configStale(retryAfter time.Duration) *apiError {
	return &apiError{status: http.StatusServiceUnavailable, errorType: errorTypeClusterBlock, err: errConfigStale, retryAfter: retryAfter}
}

func unsupported(feature string) error { return fmt.Errorf("[%s] is %w", feature, errUnsupported) }

func (e *apiError) body() []byte { return appendError(nil, e.status, e.errorType, e.err.Error()) }

func (e *apiError) reply() *httpwire.Reply {
	return &httpwire.Reply{Status: e.status, Header: retryAfterHeader(e.retryAfter), Body: e.body()}
}

// retryAfterHeader returns the Retry-After header in whole seconds, rounded up; nil where there is none to send.
func retryAfterHeader(retryAfter time.Duration) httpwire.Header {
	if retryAfter <= 0 {
		return nil
	}
	return httpwire.Header{{Name: "Retry-After", Value: strconv.Itoa(int(math.Ceil(retryAfter.Seconds())))}}
}

// appendError appends an error in OpenSearch's shape.
func appendError(to []byte, status int, errorType, reason string) []byte {
	quoted, err := json.Marshal(reason)
	if err != nil { // a string can always be encoded
		quoted = []byte(`""`)
	}
	return fmt.Appendf(to, `{"error":{"root_cause":[{"type":%q,"reason":%s}],"type":%q,"reason":%s},"status":%d}`,
		errorType, quoted, errorType, quoted, status)
}
