package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/targetconn"
)

const (
	// forwardedHeader marks a request that another router passes on. It is read from requests
	// on the listener for routers only.
	forwardedHeader = "Ragwort-Forwarded-By"
	// notTakenHeader marks the response to such a request if this router cannot reach the
	// targets either, or stops, so that another one may be asked.
	notTakenHeader = "Ragwort-Not-Taken"
)

// IsForwarded reports whether a request on the listener for routers was passed on by one.
func IsForwarded(req *http.Request) bool {
	return req.Header.Get(forwardedHeader) != ""
}

// ServeForwarded serves a request that another router received from a client and passed on,
// because it reaches no target. It is checked, limited and retried like a client's own, but
// not passed on again.
func (r *Relay) ServeForwarded(w http.ResponseWriter, req *http.Request) {
	from, wants := strings.CutSuffix(req.Header.Get(forwardedHeader), wantsTargetSuffix)
	req.Header.Del(forwardedHeader)
	// An error means that the connection is closed already.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	r.serveRequest(w, req, forwarder{from, wants})
}

// pathsLost reports whether this router has lost its paths to the targets of the request's
// service.
func (s *requestState) pathsLost() bool {
	return s.relay.paths.Lost(s.service)
}

// forwardOrRefuse serves a request while the paths to its service's targets are lost: by
// another router, or else by a refusal at once. It returns false if the paths are not lost.
func (s *requestState) forwardOrRefuse() bool {
	if !s.pathsLost() {
		return false
	}
	if s.forwardedBy.id != "" {
		s.w.Header().Set(notTakenHeader, "1")
	} else if s.forward() {
		return true
	}
	s.refuse(reason.TargetDown, overloadRetryAfter)
	return true
}

// forward passes the request on to another router that reaches the targets, and its response
// to the client. It returns false if no router has taken the request. Once it was sent, it
// is not sent again, since it may have run.
func (s *requestState) forward() bool {
	if s.relay.cfg.Helpers == nil {
		return false
	}
	ctx, cancel := context.WithDeadlineCause(s.request.Context(), s.deadline, errRequestDeadline)
	defer cancel()
	_ = http.NewResponseController(s.w).SetWriteDeadline(s.deadline.Add(time.Second))
	for _, addr := range s.relay.cfg.Helpers(s.service) {
		result := s.sendToRouter(ctx, addr)
		switch {
		case errors.Is(result.err, targetconn.ErrNotSent), result.err == nil && result.response.Header.Get(notTakenHeader) != "":
			s.Log(event.RequestNotTaken).Str("by", addr).AnErr("error", result.err).Send()
			result.close()
			if ctx.Err() == nil {
				continue
			}
		}
		s.current = result
		s.finishForwarded(ctx, result, addr)
		result.close()
		return true
	}
	return false
}

// sendToRouter sends the request to another router and reads the head of its response.
func (s *requestState) sendToRouter(ctx context.Context, addr string) *attemptResult {
	header := s.relay.cfg.Codec.EncodeForwarded(s.request.Header, time.Until(s.deadline))
	header.Set(forwardedHeader, string(s.relay.cfg.Self)+wantsTargetSuffix)
	response, err := s.relay.routers.Do(ctx, &targetconn.Request{
		Target: fleet.TargetID(addr), Addr: addr, Method: s.call.Method, URI: s.call.URI, Host: s.call.Host,
		Header: header, Body: s.call.Body, RequireFreshConn: true,
	})
	if err != nil {
		return &attemptResult{reason: reason.AnswerTruncated, err: err}
	}
	s.recordForwarded(response)
	return &attemptResult{response: response}
}

// finishForwarded passes the response of another router on to the client.
func (s *requestState) finishForwarded(ctx context.Context, result *attemptResult, addr string) {
	err := result.err
	if err == nil {
		err = s.checkForwarded(result.response)
	}
	if err == nil {
		err = s.copyResponse(result)
	}
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		s.completeResponse()
		s.recordResult(resultForwarded)
		s.Log(event.RequestForwarded).Str("by", addr).Int("status", result.response.Status).Dur("whole", time.Since(s.arrivedAt)).Send()
	case result.clientGone, cause != nil && !errors.Is(cause, errRequestDeadline) && !errors.Is(cause, ErrRouterStopped):
		s.recordResult(resultClientGone)
		s.Log(event.ClientGone).Err(err).Send()
		panic(http.ErrAbortHandler)
	case s.headSent:
		result.err = err
		s.abortResponse(reason.AnswerTruncated)
	case errors.Is(cause, errRequestDeadline):
		result.err = err
		s.failUnknown(http.StatusGatewayTimeout, reason.TimedOut)
	default:
		result.err = err
		s.failUnknown(http.StatusBadGateway, reason.AnswerTruncated)
	}
}

// errNotOfRouter means that a response is not one that a router passes back: another server may have its address.
var errNotOfRouter = errors.New("relay: not a response of a router to this request")

// checkForwarded returns an error if a response cannot be another router's to this request, or if its end would not be
// known. A router delimits what it passes back.
func (s *requestState) checkForwarded(response *targetconn.Response) error {
	reply := s.relay.cfg.Codec.DecodeResponse(response.Status, response.Header)
	switch {
	case reply.ID != "" && reply.ID != s.call.ID:
		return fmt.Errorf("%w: another request ID", errNotOfRouter)
	case !response.Delimited:
		return fmt.Errorf("%w: neither a length nor chunks", errNotOfRouter)
	case reply.Success() && (reply.ID == "" || !reply.Signed):
		return fmt.Errorf("%w: a success without a request ID or signature", errNotOfRouter)
	default:
		return nil
	}
}

// copyResponse writes the response of another router to the client: a short body once it is
// complete, a stream as it arrives.
func (s *requestState) copyResponse(result *attemptResult) error {
	response := result.response
	if s.route.Stream && !isJSON(response.Header) && response.Status == http.StatusOK {
		s.writeHead(result, -1)
		return s.copyBody(result, http.NewResponseController(s.w).Flush)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBodyBytes+1))
	if err != nil {
		return fmt.Errorf("relay: response of another router: %w", err)
	}
	s.writeHead(result, int64(len(body)))
	if _, err := s.w.Write(body); err != nil {
		result.clientGone = true
		return err
	}
	if len(body) > maxBufferedBodyBytes {
		return s.copyBody(result, func() error { return nil })
	}
	return nil
}

// copyBody copies the rest of a response body and calls flush after each part.
func (s *requestState) copyBody(result *attemptResult, flush func() error) error {
	buffer := make([]byte, forwardBufferBytes)
	for {
		n, err := result.response.Read(buffer)
		if n > 0 {
			if _, writeErr := s.w.Write(buffer[:n]); writeErr != nil {
				result.clientGone = true
				return writeErr
			}
			if flushErr := flush(); flushErr != nil {
				result.clientGone = true
				return flushErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("relay: response of another router: %w", err)
		}
	}
}

// forwardBufferBytes is the size of the parts in which a response of another router is
// copied: a few events.
const forwardBufferBytes = 4 << 10

// forwardUnreached passes on a request for which no target could be reached, before the
// paths are known to be lost. It reports whether the request is done.
func (s *requestState) forwardUnreached(step outcome.State, code reason.Code) bool {
	if s.forwardedBy.id != "" || step != outcome.NotDispatched || code != reason.TargetDown {
		return false
	}
	s.relay.retryBudget(s.service).Withdraw(s.relay.cfg.RetryBudget.PerRequest())
	return s.forward()
}

// recordPath records whether a connection to a target could be established, from the result
// of an exchange or a probe. reused means that the connection was open before.
func (r *Relay) recordPath(t *catalog.Target, err error, reused bool) {
	now, unsent := time.Now(), errors.Is(err, targetconn.ErrNotSent)
	switch {
	case err != nil && !unsent, errors.Is(err, targetconn.ErrNotIdentified):
		// The connection broke later, or an old one did, or it leads to another process, which says
		// nothing of new ones.
		return
	case reused:
		r.paths.Answered(t.Service, now)
		return
	}
	before, lost := r.paths.Record(t, !unsent, r.cfg.View().Targets[t.Service], now)
	switch {
	case lost && !before:
		event.PathsLost.Log(r.cfg.Log).Str("service", string(t.Service)).Err(err).Send()
		r.closeIdleConns(t.Service)
	case before && !lost:
		event.PathsRegained.Log(r.cfg.Log).Str("service", string(t.Service)).Send()
	}
}

// closeIdleConns closes the idle connections to the targets of a service.
func (r *Relay) closeIdleConns(service fleet.ServiceName) {
	for _, t := range r.cfg.View().Targets[service] {
		r.pool.CloseIdle(t.ID)
	}
}

// checkPaths probes targets to tell a lost path from a dead target, and to notice the return
// of lost paths.
func (r *Relay) checkPaths(ctx context.Context, now time.Time) {
	for service, targets := range r.cfg.View().Targets {
		for _, t := range r.paths.DueChecks(service, targets, rand.Perm, now) {
			go r.probe(ctx, t)
		}
	}
}
