package httpwire

import "fmt"

var reasonPhrases = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 429: "Too Many Requests", 500: "Internal Server Error", 502: "Bad Gateway",
	503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendResponse appends a response with a JSON body. closing announces that the connection closes after it.
func AppendResponse(to []byte, status int, extra Header, body []byte, closing bool) []byte {
	reason := reasonPhrases[status]
	if reason == "" {
		reason = "Status"
	}
	to = fmt.Appendf(to, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status, reason)
	return appendHeadersAndBody(to, extra, body, closing)
}

// AppendRequest appends a request. A body that is not nil is sent as JSON.
func AppendRequest(to []byte, method, target, host string, extra Header, body []byte) []byte {
	to = fmt.Appendf(to, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	if body == nil && method == "GET" {
		for _, f := range extra {
			to = fmt.Appendf(to, "%s: %s\r\n", f.Name, f.Value)
		}
		return append(to, "\r\n"...)
	}
	to = append(to, "Content-Type: application/json\r\n"...)
	return appendHeadersAndBody(to, extra, body, false)
}

func appendHeadersAndBody(to []byte, extra Header, body []byte, closing bool) []byte {
	for _, f := range extra {
		to = fmt.Appendf(to, "%s: %s\r\n", f.Name, f.Value)
	}
	if closing {
		to = append(to, "Connection: close\r\n"...)
	}
	to = fmt.Appendf(to, "Content-Length: %d\r\n\r\n", len(body))
	return append(to, body...)
}
