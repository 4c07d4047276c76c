package bed

// OperatorURL returns the base of the router's administration API, empty
// without one.
func (m *Member) OperatorURL() string {
	addr := m.Router.OperatorAddr()
	if addr == "" {
		return ""
	}
	return "https://" + addr
}
