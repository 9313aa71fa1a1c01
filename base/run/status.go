package run

// Status is the answer of each process to GET /v1/status. An entry adds the agents
// that it watches.
type Status struct {
	Name        string   `json:"name"`
	Role        string   `json:"role"`        // "entry" or "agent"
	Revision    uint64   `json:"revision"`    // of the manifest in force; 0: no manifest yet
	Hash        string   `json:"hash"`        // of that manifest
	Offset      uint64   `json:"offset"`      // of its record in the log
	Incarnation uint64   `json:"incarnation"` // start time of the process, Unix time in ms
	Ready       bool     `json:"ready"`
	Leaving     bool     `json:"leaving"`
	Peers       []string `json:"peers"` // addresses of the known processes
}
