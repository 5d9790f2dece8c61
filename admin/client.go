package admin

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"alderproxy/gossip"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

// Client talks to one instance's pages.
type Client struct {
	Addr  string
	Token string
}

// ErrRefused is behind what an instance refused; ErrUnreachable behind calls that had no answer.
var (
	ErrRefused     = errors.New("refused")
	ErrUnreachable = errors.New("no answer")
)

// NewRequest makes a name for a change.
func NewRequest() string {
	var b [8]byte
	rand.Read(b[:]) // never fails, as its documentation says
	return hex.EncodeToString(b[:])
}

var web = &http.Client{Timeout: orderLimit + 10*time.Second}

func (c Client) call(method, path string, body, into any) (status int, err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, "http://"+c.Addr+path, bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := web.Do(req)
	if err != nil {
		var u *url.Error
		if errors.As(err, &u) {
			err = u.Err
		}
		return 0, fmt.Errorf("%w from %s: %w", ErrUnreachable, c.Addr, err)
	}
	defer resp.Body.Close()
	var raw json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&raw); err != nil {
		return resp.StatusCode, fmt.Errorf("%w from %s: %w", ErrUnreachable, c.Addr, err)
	}
	var p problem
	if resp.StatusCode != http.StatusOK && json.Unmarshal(raw, &p) == nil && p.Error != "" {
		return resp.StatusCode, fmt.Errorf("%w: %s", ErrRefused, p.Error)
	}
	return resp.StatusCode, json.Unmarshal(raw, into)
}

// Status is how the instance sees its group.
func (c Client) Status() (s raftnode.Status, err error) {
	_, err = c.call("GET", "/v1/status", nil, &s)
	return s, err
}

// Members is how the instance sees its fleet. after, where it is not 0, is the number of a view: the instance waits a
// few seconds for another one.
func (c Client) Members(after uint64) (s gossip.Status, err error) {
	path := "/v1/members"
	if after > 0 {
		path += "?after=" + strconv.FormatUint(after, 10)
	}
	_, err = c.call("GET", path, nil, &s)
	return s, err
}

// Show is a version; 0: the active one. Local: as this instance has it, without asking the others.
func (c Client) Show(version uint64, local bool) (v sharedconfig.Version, err error) {
	q := url.Values{}
	if version > 0 {
		q.Set("version", strconv.FormatUint(version, 10))
	}
	if local {
		q.Set("local", "1")
	}
	_, err = c.call("GET", "/v1/config?"+q.Encode(), nil, &v)
	return v, err
}

// History is the versions that are kept, without their texts, the oldest first.
func (c Client) History(local bool) (all []sharedconfig.Version, err error) {
	path := "/v1/config/history"
	if local {
		path += "?local=1"
	}
	_, err = c.call("GET", path, nil, &all)
	return all, err
}

// Put asks for a change.
func (c Client) Put(p Put) (o sharedconfig.Outcome, err error) {
	_, err = c.call("POST", "/v1/config", p, &o)
	return o, err
}

// Order asks for a change of the members or of the lead.
func (c Client) Order(order raftnode.Command) (o sharedconfig.Outcome, err error) {
	_, err = c.call("POST", "/v1/instances", order, &o)
	return o, err
}
