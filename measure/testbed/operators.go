package testbed

// OperatorURL returns the base URL of the router's administration API, or "" if
// it has none.
func (m *RunningRouter) OperatorURL() string {
	addr := m.Router.OperatorAddr()
	if addr == "" {
		return ""
	}
	return "https://" + addr
}
