package objectapi

// Paths and names of the object API's HTTP form, shared by the client and by
// servers of the API. An object is read by GET, written and deleted by POST
// with the version as condition; POST, because HTTP clients may repeat a PUT or
// DELETE by themselves and the repeat would meet its own effect as a conflict.
const (
	ObjectsPath = "/objects/"
	WatchPath   = "/watch"
	VMsPath     = "/vms"
	// VersionHeader carries an object's version or a change's revision.
	VersionHeader = "Object-Version"
	// IfVersionParam, DeleteParam, KindsParam, FromParam and WaitParam are query
	// parameters; kinds are separated by commas, the wait is in milliseconds.
	IfVersionParam = "if_version"
	DeleteParam    = "delete"
	KindsParam     = "kinds"
	FromParam      = "from"
	WaitParam      = "wait_ms"
)

// ListAnswer is the JSON answer of a list.
type ListAnswer struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"`
}

// WatchAnswer is the JSON answer of a watch.
type WatchAnswer struct {
	Changes  []Change `json:"changes"`
	Revision uint64   `json:"revision"`
}
