package caller

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/reason"
)

// rejectedBodyTimeout bounds a read of the body of a request with an ambiguous head.
const rejectedBodyTimeout = time.Millisecond

// Errors of a request head that does not say unambiguously where the body ends. Two
// servers in a row may read such a request differently, so that a part of its body
// becomes a request of its own.
var (
	errSeveralLengths  = errors.New("caller: several Content-Length or Transfer-Encoding fields")
	errBothLengths     = errors.New("caller: both Content-Length and Transfer-Encoding")
	errUnknownEncoding = errors.New("caller: transfer encoding other than chunked")
	errFoldedField     = errors.New("caller: header field continued on the next line")
	errBareLineEnd     = errors.New("caller: CR or LF that is not a line end")
)

// checkFraming checks the header lines of a request as received, without the request
// line.
func checkFraming(head []byte) error {
	lengths, encodings := 0, 0
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		if len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return errFoldedField
		}
		if bytes.ContainsAny(line, "\r\n") {
			return errBareLineEnd
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return errUnknownEncoding
			}
		}
	}
	switch {
	case lengths > 1 || encodings > 1:
		return errSeveralLengths
	case lengths > 0 && encodings > 0:
		return errBothLengths
	}
	return nil
}

// rejectAmbiguousFraming answers requests with an ambiguous head with status 400,
// before anything of them is read or run, and closes their connection.
func (f *HTTPServer) rejectAmbiguousFraming(ctx context.Context, c *app.RequestContext) {
	if err := checkFraming(c.Request.Header.RawHeaders()); err != nil {
		// hertz reads the rest of the body before it closes the connection. That body
		// may never end.
		err = errors.Join(err, c.GetConn().SetReadTimeout(rejectedBodyTimeout))
		f.writeNotRun(c, reason.MalformedRequest, err.Error())
		c.SetConnectionClose()
		c.Abort()
		return
	}
	c.Next(ctx)
}
