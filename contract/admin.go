package contract

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"alderproxy/httpwire"
)

// proposeWithin bounds a change: a client learns in that time whether a majority holds it.
const proposeWithin = 3 * time.Second

// Admin answers those who keep the contracts: GET /contracts, and PUT or DELETE /contracts/TEAM?expect=VERSION.
type Admin struct{ Node *Node }

// Handle answers one request.
func (a Admin) Handle(x *httpwire.Exchange) *httpwire.Reply {
	path, rawQuery, _ := strings.Cut(x.Target, "?")
	rest, ok := strings.CutPrefix(path, "/contracts")
	team, err := url.PathUnescape(strings.TrimPrefix(rest, "/"))
	if !ok || err != nil || rest != "" && (rest[0] != '/' || team == "" || strings.Contains(team, "/")) {
		return a.fail(404, errors.New("no such page"))
	}
	if team == "" {
		if x.Method != "GET" {
			return a.fail(405, errors.New("only GET"))
		}
		return a.book(a.Node.Book())
	}
	params, err := url.ParseQuery(rawQuery)
	if err != nil {
		return a.fail(400, err)
	}
	c := Change{}
	if c.Expect, err = strconv.ParseUint(params.Get("expect"), 10, 64); err != nil {
		return a.fail(400, errors.New("expect: the version that the change is made for is missing"))
	}
	switch x.Method {
	case "PUT":
		c.Put = &Contract{}
		if err := json.Unmarshal(x.Body, c.Put); err != nil {
			return a.fail(400, err)
		}
		if c.Put.Team == "" {
			c.Put.Team = team
		}
		if c.Put.Team != team {
			return a.fail(400, fmt.Errorf("the contract is of team %q", c.Put.Team))
		}
	case "DELETE":
		c.Remove = team
	default:
		return a.fail(405, errors.New("only PUT and DELETE"))
	}
	book, err := a.Node.Propose(c, proposeWithin)
	switch {
	case errors.Is(err, ErrInvalid):
		return a.fail(400, err)
	case errors.Is(err, ErrConflict):
		return a.fail(409, err)
	case errors.Is(err, ErrNotLeader):
		return a.fail(421, fmt.Errorf("%w; %q does", err, a.Node.Leader()))
	case err != nil:
		return a.fail(503, err)
	}
	return a.book(book)
}

func (a Admin) fail(status int, err error) *httpwire.Reply {
	return &httpwire.Reply{Status: status, Body: httpwire.ErrorBody(err)}
}

func (a Admin) book(b Book) *httpwire.Reply {
	body, err := json.Marshal(b)
	if err != nil {
		return a.fail(500, err)
	}
	return &httpwire.Reply{Status: 200, Body: body}
}
