package fleet

// EngineState names what an engine is to serve. An empty field is not ordered
// and stays as the engine has it.
type EngineState struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}
