package objectapi

// Paths, headers and query parameters of the object API over HTTP, shared by the
// client and the servers of the API. Objects are read with GET, and written and
// deleted with POST on condition of their version. PUT and DELETE are not used
// because HTTP clients may retry them automatically, and a retry would conflict
// with the change that the first attempt made.
const (
	ObjectsPath = "/objects/"
	WatchPath   = "/watch"
	VMsPath     = "/vms"
	// VersionHeader carries an object's version or a change's revision.
	VersionHeader = "Object-Version"
	// IfVersionParam, DeleteParam, KindsParam, FromParam and WaitParam are query
	// parameters. Kinds are separated by commas; the wait is in milliseconds.
	IfVersionParam = "if_version"
	DeleteParam    = "delete"
	KindsParam     = "kinds"
	FromParam      = "from"
	WaitParam      = "wait_ms"
)

// ListResponse is the JSON response to a list call.
type ListResponse struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"`
}

// WatchResponse is the JSON response to a watch call.
type WatchResponse struct {
	Changes  []Change `json:"changes"`
	Revision uint64   `json:"revision"`
}
