package httpconn

import (
	"fmt"

	"github.com/cloudwego/hertz/pkg/network"
)

// Statuses of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// statusPrefixBytes is the length of the version, the status and the character after it in a status line.
const statusPrefixBytes = len("HTTP/1.1 200 ")

// PeekStatus returns the status of the response that r has next, without taking it. It returns ErrNoStatus if no response
// begins there, or the error of r. hertz takes numbers of any length, and zero for 200.
func PeekStatus(r network.Reader) (int, error) {
	line, err := r.Peek(statusPrefixBytes)
	if len(line) < statusPrefixBytes {
		if err == nil {
			err = ErrNoStatus
		}
		return 0, err
	}
	status := 0
	for _, c := range line[len("HTTP/1.1 "):len("HTTP/1.1 200")] {
		if c < '0' || c > '9' {
			return 0, fmt.Errorf("%w: %q", ErrNoStatus, line)
		}
		status = 10*status + int(c-'0')
	}
	version, after := string(line[:len("HTTP/1.")]), line[statusPrefixBytes-1]
	if version != "HTTP/1." || line[len("HTTP/1.1")] != ' ' || (after != ' ' && after != '\r' && after != '\n') || status < minStatus || status > maxStatus {
		return 0, fmt.Errorf("%w: %q", ErrNoStatus, line)
	}
	return status, nil
}
