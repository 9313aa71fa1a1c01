// Package protocol names the headers of the platform's HTTP protocols.
package protocol

// Headers of requests and answers.
const (
	Client         = "X-Client"          // name of the calling process
	FencingToken   = "X-Fencing-Token"   // of an order to an engine
	WeightsModel   = "X-Weights-Model"   // model of the weights in the body
	WeightsVersion = "X-Weights-Version" // version of the weights in the body
	WeightsDigest  = "X-Weights-Digest"  // sha256 of the weights in the body, hex
)
