package relay

import (
	"fmt"
	"net/url"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/targetconn"
)

const (
	// wantsTargetSuffix follows the ID in forwardedHeader of a router that reads targetHeader.
	// Routers of earlier builds would pass that header on to clients.
	wantsTargetSuffix = ";target"
	// targetHeader names the target whose response another router passes on.
	targetHeader = "Ragwort-Target"
)

// forwarder is the router that passed a request on.
type forwarder struct {
	// id is empty if the request came from its client.
	id string
	// wantsTarget is set if the router wants to know which target responds.
	wantsTarget bool
}

// formatTarget returns the value of targetHeader for a target.
func formatTarget(t *catalog.Target) string {
	p := t.Process()
	return fmt.Sprintf("%d %d %d %s", p.StartedAt.UnixMilli(), p.Revision, p.Era, url.PathEscape(string(t.ID)))
}

// parseTarget parses the value of targetHeader. It returns a target with its ID and process only.
func parseTarget(text string) (*catalog.Target, error) {
	var startedAt int64
	var id string
	t := &catalog.Target{}
	if _, err := fmt.Sscanf(text, "%d %d %d %s", &startedAt, &t.Revision, &t.Era, &id); err != nil {
		return nil, fmt.Errorf("relay: target in the response of another router: %w", err)
	}
	id, err := url.PathUnescape(id)
	if err != nil {
		return nil, fmt.Errorf("relay: target in the response of another router: %w", err)
	}
	t.ID, t.StartedAt = fleet.TargetID(id), time.UnixMilli(startedAt)
	return t, nil
}

// recordForwarded records what a target says of itself in a response that another router passes
// on. Routers of earlier builds do not name the target.
func (s *requestState) recordForwarded(response *targetconn.Response) {
	text := response.Header.Get(targetHeader)
	if text == "" {
		return
	}
	target, err := parseTarget(text)
	if err != nil {
		s.Log(event.ForwardedTargetInvalid).Err(err).Send()
		return
	}
	reply := s.relay.cfg.Codec.DecodeResponse(response.Status, response.Header)
	s.recordLimit(target.ID, &reply)
	s.recordNotice(target, &reply)
	s.recordCold(target, &reply)
}
