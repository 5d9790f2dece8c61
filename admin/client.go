package admin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"unicode/utf8"

	"alderproxy/gossip"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

// The errors of a Client's calls.
var (
	// ErrRejected is wrapped by the errors of requests that the instance rejected.
	ErrRejected = errors.New("refused")
	// ErrUnreachable is wrapped by the errors of calls without a response, or with one that is not JSON.
	ErrUnreachable = errors.New("no answer")
)

// Client calls the admin server of one instance.
type Client struct {
	Addr  string
	Token string // sent with each request; empty: none
}

var httpClient = &http.Client{Timeout: commandTimeout + clientGracePeriod}

// NewRequestID returns a random id for a change.
func NewRequestID() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails, as its documentation says
	return hex.EncodeToString(id[:])
}

// call sends a request with a JSON body and decodes the JSON response into a value.
func (c Client) call(method, path string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.Addr+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		var urlErr *url.Error
		if errors.As(err, &urlErr) {
			err = urlErr.Err
		}
		return fmt.Errorf("%w from %s: %w", ErrUnreachable, c.Addr, err)
	}
	defer func() { _ = response.Body.Close() }() // the body was only read
	var raw json.RawMessage
	if err := json.NewDecoder(response.Body).Decode(&raw); err != nil {
		return fmt.Errorf("%w from %s: %w", ErrUnreachable, c.Addr, err)
	}
	var failure errorBody
	if response.StatusCode != http.StatusOK && json.Unmarshal(raw, &failure) == nil && failure.Error != "" {
		return fmt.Errorf("%w: %s", ErrRejected, failure.Error)
	}
	return json.Unmarshal(raw, into)
}

// Status returns how the instance sees its group.
func (c Client) Status() (s raftnode.Status, err error) {
	err = c.call(http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Members returns the instance's view of its fleet. Where after is not 0, the instance waits up to five seconds for a view
// of another version.
func (c Client) Members(after uint64) (s gossip.Status, err error) {
	path := "/v1/members"
	if after > 0 {
		path += "?after=" + strconv.FormatUint(after, 10)
	}
	err = c.call(http.MethodGet, path, nil, &s)
	return s, err
}

// Show returns a version of the shared document; 0 means the active one. With local it reads the instance's own state, which
// no majority has to confirm.
func (c Client) Show(version uint64, local bool) (v sharedconfig.Version, err error) {
	q := url.Values{}
	if version > 0 {
		q.Set("version", strconv.FormatUint(version, 10))
	}
	if local {
		q.Set("local", "1")
	}
	err = c.call(http.MethodGet, "/v1/config?"+q.Encode(), nil, &v)
	return v, err
}

// History returns the versions in the history, the oldest first and without their texts. local is as for Show.
func (c Client) History(local bool) (all []sharedconfig.Version, err error) {
	path := "/v1/config/history"
	if local {
		path += "?local=1"
	}
	err = c.call(http.MethodGet, path, nil, &all)
	return all, err
}

// Put changes the shared document and returns the outcome.
func (c Client) Put(change ConfigChange) (o sharedconfig.Outcome, err error) {
	for _, text := range []string{change.Request, change.Text, change.Author, change.Reason} {
		if !utf8.ValidString(text) { // JSON cannot represent it
			return o, fmt.Errorf("%w: a text of the change is not UTF-8", ErrRejected)
		}
	}
	err = c.call(http.MethodPost, "/v1/config", change, &o)
	return o, err
}

// Execute has the leader execute a command about the members or the leadership, and returns the outcome.
func (c Client) Execute(command raftnode.Command) (o sharedconfig.Outcome, err error) {
	err = c.call(http.MethodPost, "/v1/instances", command, &o)
	return o, err
}
