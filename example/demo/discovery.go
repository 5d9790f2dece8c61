package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"alderproxy/httpwire"
)

const (
	unchangedList      = `{"version":1,"full":false,"servers":[]}`
	storeEntryTemplate = `{"id":"s-%d","addr":"127.0.0.1:860%d","zone":"a","kind":"toy","cell":0,"state":"in_service","weight":1,"started_ms":0}`
)

// answerDiscovery answers one call to discovery. The list never changes, so a watch waits for its whole timeout.
func answerDiscovery(c net.Conn, r *bufio.Reader) error {
	request, err := httpwire.ReadRequest(r)
	if err != nil {
		return err
	}
	list := unchangedList
	if _, query, _ := strings.Cut(request.Target, "?"); strings.Contains(query, "from=1") {
		time.Sleep(watchTimeout(query))
	} else {
		list = fmt.Sprintf(`{"version":1,"full":true,"servers":[`+storeEntryTemplate+","+storeEntryTemplate+`]}`, 1, 1, 2, 2)
	}
	_, err = c.Write(httpwire.AppendResponse(nil, http.StatusOK, nil, []byte(list), false))
	return err
}

// watchTimeout returns the timeout in the query of a watch, or 0 if it has no valid one.
func watchTimeout(query string) time.Duration {
	values, _ := url.ParseQuery(query) // the valid values are returned despite an error
	timeout, err := strconv.Atoi(values.Get("hold_ms"))
	if err != nil {
		return 0
	}
	return time.Duration(timeout) * time.Millisecond
}
