package peer

// Stream is one forwarded request's stream.
type Stream struct{}
