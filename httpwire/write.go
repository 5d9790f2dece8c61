package httpwire

import "fmt"

// reasonPhrases are the reason phrases of the statuses that are sent.
var reasonPhrases = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 429: "Too Many Requests", 500: "Internal Server Error", 502: "Bad Gateway",
	503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendResponse appends a response with a JSON body. If closeAfter is set, it announces that the connection closes after the
// response.
func AppendResponse(to []byte, status int, header Header, body []byte, closeAfter bool) []byte {
	reason := reasonPhrases[status]
	if reason == "" {
		reason = "Status"
	}
	to = fmt.Appendf(to, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status, reason)
	return appendHeadersAndBody(to, header, body, closeAfter)
}

// AppendRequest appends a request with a JSON body. A GET request whose body is nil has no Content-Type and no Content-Length.
func AppendRequest(to []byte, method, target, host string, header Header, body []byte) []byte {
	to = fmt.Appendf(to, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	if body == nil && method == "GET" {
		for _, f := range header {
			to = fmt.Appendf(to, "%s: %s\r\n", f.Name, f.Value)
		}
		return append(to, "\r\n"...)
	}
	to = append(to, "Content-Type: application/json\r\n"...)
	return appendHeadersAndBody(to, header, body, false)
}

func appendHeadersAndBody(to []byte, header Header, body []byte, closeAfter bool) []byte {
	for _, f := range header {
		to = fmt.Appendf(to, "%s: %s\r\n", f.Name, f.Value)
	}
	if closeAfter {
		to = append(to, "Connection: close\r\n"...)
	}
	to = fmt.Appendf(to, "Content-Length: %d\r\n\r\n", len(body))
	return append(to, body...)
}
