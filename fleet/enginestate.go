package fleet

// EngineState is the state that an engine is ordered to have. An empty field leaves
// the engine's value unchanged.
type EngineState struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}
